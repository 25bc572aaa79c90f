//! Booleans, strings, byte strings and lists in binrw layouts. A boolean is one byte; the
//! others are a 32-bit count, big-endian, and the content. Decoding never reserves memory
//! for a count whose content is not there.

use binrw::{BinRead, BinResult, BinWrite, Endian};
use std::io::{Cursor, Read, Seek, Write};

/// Reads a boolean: one byte, where anything but 0 is true.
#[binrw::parser(reader, endian)]
pub fn read_bool() -> BinResult<bool> {
    Ok(u8::read_options(reader, endian, ())? != 0)
}

/// Writes a boolean as `read_bool` reads it: 0 or 1.
#[binrw::writer(writer, endian)]
pub fn write_bool(value: &bool) -> BinResult<()> {
    u8::from(*value).write_options(writer, endian, ())
}

/// Reads a byte string: its length, then its bytes.
#[binrw::parser(reader, endian)]
pub fn read_bytes() -> BinResult<Vec<u8>> {
    let position = reader.stream_position()?;
    let length = u32::read_options(reader, endian, ())?;
    let mut bytes = Vec::new();
    let read = reader.take(u64::from(length)).read_to_end(&mut bytes)?;
    if read < length as usize {
        return Err(binrw::Error::AssertFail {
            pos: position,
            message: format!("{length} bytes are announced and {read} are there"),
        });
    }
    Ok(bytes)
}

/// Writes a byte string as `read_bytes` reads it.
// binrw hands the field itself over, which is a `Vec`.
#[allow(clippy::ptr_arg)]
#[binrw::writer(writer, endian)]
pub fn write_bytes(bytes: &Vec<u8>) -> BinResult<()> {
    (bytes.len() as u32).write_options(writer, endian, ())?;
    writer.write_all(bytes)?;
    Ok(())
}

/// Reads a UTF-8 string: its length in bytes, then its bytes.
#[binrw::parser(reader, endian)]
pub fn read_string() -> BinResult<String> {
    let position = reader.stream_position()?;
    let bytes = read_bytes(reader, endian, ())?;
    String::from_utf8(bytes).map_err(|_| binrw::Error::AssertFail {
        pos: position,
        message: "this text is not UTF-8".into(),
    })
}

/// Writes a string as `read_string` reads it.
#[binrw::writer(writer, endian)]
pub fn write_string(text: &String) -> BinResult<()> {
    (text.len() as u32).write_options(writer, endian, ())?;
    writer.write_all(text.as_bytes())?;
    Ok(())
}

/// Reads a list: the number of items, then each item.
pub fn read_list<T, R>(reader: &mut R, endian: Endian, _: ()) -> BinResult<Vec<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
    R: Read + Seek,
{
    let length = u32::read_options(reader, endian, ())?;
    let mut list = Vec::new();
    for _ in 0..length {
        list.push(T::read_options(reader, endian, ())?);
    }
    Ok(list)
}

/// Writes a list as `read_list` reads it.
pub fn write_list<T, W>(list: &Vec<T>, writer: &mut W, endian: Endian, _: ()) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
    W: Write + Seek,
{
    (list.len() as u32).write_options(writer, endian, ())?;
    for item in list {
        item.write_options(writer, endian, ())?;
    }
    Ok(())
}

/// Encodes one item, big-endian. Invariant: writing to memory cannot fail, and neither
/// can this.
pub fn to_bytes<T>(item: &T) -> Vec<u8>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let mut cursor = Cursor::new(Vec::new());
    item.write_options(&mut cursor, Endian::Big, ())
        .expect("writing to memory cannot fail");
    cursor.into_inner()
}

/// Why bytes can't be decoded. A retry gives the same error.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// A field is cut short or has no valid value; the text says which, at what offset.
    #[error("{0}")]
    Invalid(String),
    /// The item is complete, and this many bytes follow it.
    #[error("{0} bytes too many")]
    TrailingBytes(usize),
}

impl From<DecodeError> for String {
    fn from(error: DecodeError) -> String {
        error.to_string()
    }
}

/// Decodes one item that fills `bytes` to the last.
///
/// # Errors
/// [`DecodeError`], if the bytes are not exactly one item.
pub fn from_bytes<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let mut cursor = Cursor::new(bytes);
    let item = T::read_options(&mut cursor, Endian::Big, ())
        .map_err(|error| DecodeError::Invalid(error.to_string().replace('\n', " ")))?;
    match bytes.len() - cursor.position() as usize {
        0 => Ok(item),
        left => Err(DecodeError::TrailingBytes(left)),
    }
}
