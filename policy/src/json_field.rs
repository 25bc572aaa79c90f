//! Finding one field in a JSON body of which only the beginning may have come. The body
//! is scanned, not parsed: nothing is built of what is passed over.

/// What a search in the beginning of a body gave.
#[derive(Debug, PartialEq)]
pub enum FieldSearch {
    /// The field is there.
    Found {
        /// The raw text of the value, without quotes and with its escapes.
        raw: Vec<u8>,
        /// False when the body so far ends within the value.
        is_complete: bool,
    },
    /// The body so far ends before the field could be seen or ruled out.
    Incomplete,
    /// The body has no such field, or it holds an object or a list.
    Absent,
    /// Not JSON, or nested past the limit, at this offset in bytes.
    Malformed(usize),
}

/// The deepest nesting that is passed over.
const MAX_DEPTH: usize = 64;

/// Why a scan stopped.
enum Stop {
    /// The body so far ends.
    End,
    /// It is malformed at this offset.
    Malformed(usize),
}

/// The offsets of a value's first byte and of the byte after its last.
type Extent = (usize, usize);

/// Invariant: `offset` never passes the end of `body`.
struct Scanner<'a> {
    body: &'a [u8],
    offset: usize,
}

impl Scanner<'_> {
    /// Passes over white space and says which byte follows.
    fn peek(&mut self) -> Result<u8, Stop> {
        while let Some(byte) = self.body.get(self.offset) {
            if !matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
                return Ok(*byte);
            }
            self.offset += 1;
        }
        Err(Stop::End)
    }

    /// Passes over one certain byte.
    fn expect(&mut self, expected: u8) -> Result<(), Stop> {
        if self.peek()? != expected {
            return Err(Stop::Malformed(self.offset));
        }
        self.offset += 1;
        Ok(())
    }

    /// Passes over a string; its extent leaves the quotes out.
    fn string(&mut self) -> Result<Extent, Stop> {
        self.expect(b'"')?;
        let start = self.offset;
        loop {
            match self.body.get(self.offset) {
                None => return Err(Stop::End),
                Some(b'"') => {
                    self.offset += 1;
                    return Ok((start, self.offset - 1));
                }
                Some(b'\\') => self.offset = (self.offset + 2).min(self.body.len()),
                Some(byte) if *byte < 0x20 => return Err(Stop::Malformed(self.offset)),
                Some(_) => self.offset += 1,
            }
        }
    }

    /// Passes over a number, `true`, `false` or `null`.
    fn scalar(&mut self) -> Result<Extent, Stop> {
        let start = self.offset;
        while let Some(byte) = self.body.get(self.offset) {
            if matches!(byte, b',' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n') {
                return match is_scalar(&self.body[start..self.offset]) {
                    true => Ok((start, self.offset)),
                    false => Err(Stop::Malformed(start)),
                };
            }
            self.offset += 1;
        }
        Err(Stop::End)
    }

    /// Passes over a value of any kind.
    fn skip_value(&mut self) -> Result<(), Stop> {
        // The closing bytes that are awaited, the innermost last.
        let mut closings = Vec::new();
        loop {
            match self.peek()? {
                b'"' => {
                    self.string()?;
                }
                byte @ (b'{' | b'[') => {
                    if closings.len() == MAX_DEPTH {
                        return Err(Stop::Malformed(self.offset));
                    }
                    // In ASCII a closing bracket follows its opening one by two.
                    closings.push(byte + 2);
                    self.offset += 1;
                }
                byte @ (b'}' | b']') => {
                    if closings.pop() != Some(byte) {
                        return Err(Stop::Malformed(self.offset));
                    }
                    self.offset += 1;
                }
                b',' | b':' if !closings.is_empty() => {
                    self.offset += 1;
                    continue;
                }
                _ => {
                    self.scalar()?;
                }
            }
            if closings.is_empty() {
                return Ok(());
            }
        }
    }

    /// Moves to the value of the member `name` of the object that follows; false where the
    /// object has no such member.
    fn seek_member(&mut self, name: &str) -> Result<bool, Stop> {
        self.expect(b'{')?;
        if self.peek()? == b'}' {
            return Ok(false);
        }
        loop {
            let (start, end) = self.string()?;
            self.expect(b':')?;
            if &self.body[start..end] == name.as_bytes() {
                return Ok(true);
            }
            self.skip_value()?;
            match self.peek()? {
                b',' => self.offset += 1,
                b'}' => return Ok(false),
                _ => return Err(Stop::Malformed(self.offset)),
            }
        }
    }

    /// Moves to the value at `path`; false where there is none.
    fn seek_path(&mut self, path: &[String]) -> Result<bool, Stop> {
        for (depth, name) in path.iter().enumerate() {
            // A body must be an object; a member on the way may be anything.
            if depth > 0 && self.peek()? != b'{' {
                return Ok(false);
            }
            if !self.seek_member(name)? {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

fn is_scalar(bytes: &[u8]) -> bool {
    std::str::from_utf8(bytes)
        .is_ok_and(|word| matches!(word, "true" | "false" | "null") || word.parse::<f64>().is_ok())
}

/// Looks for the field at `path`. `is_body_complete` says that no more body will come, so
/// that an unfinished document is malformed and not incomplete. Where a name occurs twice
/// in an object, the first counts.
pub fn find_field(body: &[u8], path: &[String], is_body_complete: bool) -> FieldSearch {
    let mut scanner = Scanner { body, offset: 0 };
    // Where the value's text begins, once it is reached and is a string.
    let mut string_start = None;
    let mut search = || -> Result<Option<Extent>, Stop> {
        if !scanner.seek_path(path)? {
            return Ok(None);
        }
        match scanner.peek()? {
            b'"' => {
                string_start = Some(scanner.offset + 1);
                scanner.string().map(Some)
            }
            b'{' | b'[' => Ok(None),
            _ => scanner.scalar().map(Some),
        }
    };
    match search() {
        Ok(Some((start, end))) => FieldSearch::Found {
            raw: body[start..end].to_vec(),
            is_complete: true,
        },
        Ok(None) => FieldSearch::Absent,
        Err(Stop::Malformed(offset)) => FieldSearch::Malformed(offset),
        Err(Stop::End) if is_body_complete => FieldSearch::Malformed(body.len()),
        Err(Stop::End) => match string_start {
            Some(start) => FieldSearch::Found {
                raw: body[start..].to_vec(),
                is_complete: false,
            },
            None => FieldSearch::Incomplete,
        },
    }
}
