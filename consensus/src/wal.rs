//! The log on disk: checksummed segments, snapshots beside them.
//!
//! A record is a length, a checksum and a body. What a crash tore off the end
//! of the last segment is cut away; damage anywhere else stops the node, since
//! what was synced must not quietly go missing.

use crate::codec::{from_bytes, to_bytes};
use crate::node::{PersistedState, Write};
use crate::{Entry, HardState, LogIndex, Snapshot, Term};
use binrw::binrw;
use std::fmt;
use std::io;

/// The disk as this package needs it. Invariant: contents that `sync` returned
/// for are there after a loss of power, and so are the names that `sync_directory`
/// returned for; of anything else, each piece may be there or not by itself.
pub trait LogStorage: Send {
    /// Names of all files in the folder.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Truncates a file to this length.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file, replacing any file that has the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files durable.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// Why a folder can't be used as it is.
#[derive(Debug)]
pub struct Damage {
    /// Name of the damaged file.
    pub file: String,
    /// Byte offset of the damage in the file.
    pub offset: u64,
    /// What is wrong there.
    pub text: String,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at byte {}: {}", self.file, self.offset, self.text)
    }
}

impl std::error::Error for Damage {}

#[binrw]
#[brw(big)]
enum Record {
    #[brw(magic = 1u8)]
    HardState(HardState),
    #[brw(magic = 2u8)]
    Cut(LogIndex),
    #[brw(magic = 3u8)]
    Entry(Entry),
    /// The log before here is void; it goes on after this index.
    #[brw(magic = 4u8)]
    Reset(LogIndex, Term),
}

const SEGMENT: &[u8; 4] = b"RPLG";
const PICTURE: &[u8; 4] = b"RPPC";
/// The format of both files, of the state machine's snapshot within, and of what
/// its entries mean. A reader refuses any other.
pub const FORMAT_VERSION: u16 = 4;
const HEAD: usize = 6;
const TURN: u64 = 4 << 20;
const RECORD_CAP: usize = 64 << 20;

/// The write-ahead log in one folder. Invariants: `number` is the highest of all
/// segments; only that one is written; each begins with the hard state in force;
/// `spans` holds the older ones with the last index that each may contain; what
/// lies before `size` in the highest one was synced without an error.
pub struct WriteAheadLog<F: LogStorage> {
    files: F,
    number: u64,
    size: u64,
    last: LogIndex,
    hard_state: HardState,
    spans: Vec<(u64, LogIndex)>,
    snapshots: Vec<LogIndex>,
}

fn segment(number: u64) -> String {
    format!("segment-{number:012}")
}

fn picture_name(index: LogIndex) -> String {
    format!("picture-{index:016}")
}

fn framed(bytes: &[u8]) -> Vec<u8> {
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&crc32fast::hash(bytes).to_be_bytes());
    frame.extend_from_slice(bytes);
    frame
}

/// The record at `at`, with the place after it.
fn record(bytes: &[u8], at: usize) -> Result<(&[u8], usize), &'static str> {
    let head = bytes.get(at..at + 8).ok_or("a record ends early")?;
    let length = u32::from_be_bytes(head[..4].try_into().expect("four bytes")) as usize;
    let sum = u32::from_be_bytes(head[4..].try_into().expect("four bytes"));
    if length == 0 || length > RECORD_CAP {
        return Err("a record's length makes no sense");
    }
    let body = bytes
        .get(at + 8..at + 8 + length)
        .ok_or("a record ends early")?;
    match crc32fast::hash(body) == sum {
        true => Ok((body, at + 8 + length)),
        false => Err("a record's checksum is wrong"),
    }
}

fn head(magic: &[u8; 4]) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    bytes
}

fn check_head(file: &str, bytes: &[u8], magic: &[u8; 4]) -> Result<(), Damage> {
    let damage = |text: String| Damage {
        file: file.into(),
        offset: 0,
        text,
    };
    if bytes.len() < HEAD || &bytes[..4] != magic {
        return Err(damage("this is not a file of rushport's".into()));
    }
    match u16::from_be_bytes([bytes[4], bytes[5]]) {
        FORMAT_VERSION => Ok(()),
        other => Err(damage(format!(
            "its format is epoch {other}, and this build reads epoch {FORMAT_VERSION} only"
        ))),
    }
}

fn numbers(names: &[String], kind: &str) -> Vec<u64> {
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| name.strip_prefix(kind)?.parse().ok())
        .collect();
    numbers.sort_unstable();
    numbers
}

impl<F: LogStorage> WriteAheadLog<F> {
    /// Reads a folder back and begins a new segment in it.
    pub fn open(mut files: F) -> anyhow::Result<(WriteAheadLog<F>, PersistedState)> {
        let names = files.list()?;
        for name in names.iter().filter(|name| name.ends_with(".part")) {
            files.remove(name)?;
        }
        let mut kept = PersistedState::default();
        let snapshots = numbers(&names, "picture-");
        if let Some(index) = snapshots.last() {
            kept.snapshot = Some(read_picture(&files, &picture_name(*index))?);
        }
        let mut spans = Vec::new();
        let numbers = numbers(&names, "segment-");
        for (place, number) in numbers.iter().enumerate() {
            let is_last = place + 1 == numbers.len();
            if !replay(&mut files, *number, is_last, &mut kept)? {
                continue;
            }
            spans.push((*number, kept.entries.last().map_or(0, |entry| entry.index)));
        }
        let (base, base_term) = kept.snapshot.as_ref().map_or((0, 0), |p| (p.index, p.term));
        let is_other_branch = kept
            .entries
            .iter()
            .any(|entry| entry.index == base && entry.term != base_term);
        let count = kept.entries.len();
        kept.entries
            .retain(|entry| entry.index > base && !is_other_branch);
        let was_reset = count > 0 && kept.entries.is_empty();
        if let Some(first) = kept.entries.first().filter(|entry| entry.index != base + 1) {
            let text = format!("the log begins at entry {}, past {base}", first.index);
            let file = segment(numbers.first().copied().unwrap_or(0));
            return Err(Damage {
                file,
                offset: HEAD as u64,
                text,
            }
            .into());
        }
        let mut segments = WriteAheadLog {
            files,
            number: numbers.last().copied().unwrap_or(0),
            size: 0,
            last: kept.entries.last().map_or(base, |entry| entry.index),
            hard_state: kept.hard_state,
            spans,
            snapshots,
        };
        segments.turn(was_reset.then_some((base, base_term)))?;
        // What a crash left there between a snapshot and the removals after it.
        segments.clear(base)?;
        Ok((segments, kept))
    }

    fn turn(&mut self, reset: Option<(LogIndex, Term)>) -> io::Result<()> {
        if self.size > 0 {
            self.spans.push((self.number, self.last));
        }
        self.number += 1;
        let mut bytes = head(SEGMENT);
        bytes.extend(framed(&to_bytes(&Record::HardState(self.hard_state))));
        if let Some((index, term)) = reset {
            bytes.extend(framed(&to_bytes(&Record::Reset(index, term))));
        }
        self.size = 0;
        self.files.append(&segment(self.number), &bytes)?;
        self.files.sync(&segment(self.number))?;
        self.files.sync_directory()?;
        self.size = bytes.len() as u64;
        Ok(())
    }

    /// After a failed write or sync: cuts off all that is not known to be on the
    /// disk, and reads back what is, as a restart would. While the disk takes
    /// nothing this fails, and may be tried again.
    pub fn reopen(&mut self) -> anyhow::Result<(WriteAheadLog<F>, PersistedState)>
    where
        F: Clone,
    {
        let name = segment(self.number);
        if self.files.list()?.contains(&name) {
            self.files.truncate(&name, self.size)?;
            self.files.sync(&name)?;
        }
        WriteAheadLog::open(self.files.clone())
    }

    /// Writes one batch and syncs it. When this returned without an error the
    /// batch survives a crash.
    pub fn write(&mut self, batch: &[Write]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for write in batch {
            match write {
                Write::HardState(hard_state) => {
                    self.hard_state = *hard_state;
                    bytes.extend(framed(&to_bytes(&Record::HardState(*hard_state))));
                }
                Write::Truncate(from) => {
                    self.last = self.last.min(from - 1);
                    bytes.extend(framed(&to_bytes(&Record::Cut(*from))));
                }
                Write::Entry(entry) => {
                    self.last = entry.index;
                    bytes.extend(framed(&to_bytes(&Record::Entry(entry.clone()))));
                }
                Write::InstallSnapshot(snapshot) => {
                    self.put(&std::mem::take(&mut bytes))?;
                    self.write_picture(snapshot)?;
                    self.last = snapshot.index;
                    self.turn(Some((snapshot.index, snapshot.term)))?;
                    self.clear(snapshot.index)?;
                }
                Write::Snapshot(snapshot) => {
                    self.put(&std::mem::take(&mut bytes))?;
                    self.write_picture(snapshot)?;
                    self.turn(None)?;
                    self.clear(snapshot.index)?;
                }
            }
        }
        self.put(&bytes)?;
        if self.size > TURN {
            self.turn(None)?;
        }
        Ok(())
    }

    fn put(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let name = segment(self.number);
        self.files.append(&name, bytes)?;
        self.files.sync(&name)?;
        self.size += bytes.len() as u64;
        Ok(())
    }

    fn write_picture(&mut self, snapshot: &Snapshot) -> io::Result<()> {
        let name = picture_name(snapshot.index);
        let part = format!("{name}.part");
        let mut bytes = head(PICTURE);
        bytes.extend(framed(&to_bytes(snapshot)));
        self.files.append(&part, &bytes)?;
        self.files.sync(&part)?;
        self.files.rename(&part, &name)?;
        self.files.sync_directory()?;
        self.snapshots.push(snapshot.index);
        Ok(())
    }

    /// Removes the snapshots and segments that the snapshot at `index` replaces.
    fn clear(&mut self, index: LogIndex) -> io::Result<()> {
        for old in self.snapshots.iter().filter(|old| **old != index) {
            self.files.remove(&picture_name(*old))?;
        }
        self.snapshots.retain(|old| *old == index);
        // From the oldest on, each removal synced before the next. If an older
        // segment could come back without a later one, its entries might be of a
        // branch that the later one made void.
        while self.spans.first().is_some_and(|(_, last)| *last <= index) {
            self.files.remove(&segment(self.spans[0].0))?;
            self.files.sync_directory()?;
            self.spans.remove(0);
        }
        Ok(())
    }
}

fn read_picture(files: &impl LogStorage, name: &str) -> anyhow::Result<Snapshot> {
    let bytes = files.read(name)?;
    check_head(name, &bytes, PICTURE)?;
    let damage = |text: String| Damage {
        file: name.into(),
        offset: HEAD as u64,
        text,
    };
    let (body, end) = record(&bytes, HEAD).map_err(|text| damage(text.into()))?;
    if end != bytes.len() {
        return Err(damage("something follows the snapshot".into()).into());
    }
    Ok(from_bytes(body).map_err(damage)?)
}

/// Takes a segment in. False: it was not even begun, and was removed.
fn replay(
    files: &mut impl LogStorage,
    number: u64,
    is_last: bool,
    kept: &mut PersistedState,
) -> anyhow::Result<bool> {
    let name = segment(number);
    let bytes = files.read(&name)?;
    // A crash may keep a new file's length and lose its bytes.
    let is_blank = bytes.len() < HEAD || bytes.iter().all(|byte| *byte == 0);
    if is_last && is_blank {
        // For good before another is begun: one that comes back would be damage then.
        files.remove(&name)?;
        files.sync_directory()?;
        return Ok(false);
    }
    check_head(&name, &bytes, SEGMENT)?;
    let mut at = HEAD;
    while at < bytes.len() {
        let damage = |text: String| Damage {
            file: name.clone(),
            offset: at as u64,
            text,
        };
        let (body, next) = match record(&bytes, at) {
            Ok(found) => found,
            Err(text) => {
                // Torn by a crash: nothing whole comes after it.
                let is_torn =
                    is_last && (at + 1..bytes.len()).all(|at| record(&bytes, at).is_err());
                if !is_torn {
                    return Err(damage(text.into()).into());
                }
                files.truncate(&name, at as u64)?;
                files.sync(&name)?;
                return Ok(true);
            }
        };
        match from_bytes::<Record>(body).map_err(damage)? {
            Record::HardState(hard_state) => kept.hard_state = hard_state,
            Record::Cut(from) => kept.entries.retain(|entry| entry.index < from),
            Record::Reset(..) => kept.entries.clear(),
            Record::Entry(entry) => {
                while kept
                    .entries
                    .last()
                    .is_some_and(|known| known.index >= entry.index)
                {
                    kept.entries.pop();
                }
                let is_next = kept
                    .entries
                    .last()
                    .is_none_or(|known| known.index + 1 == entry.index);
                if !is_next {
                    let text = format!("entry {} does not follow the one before", entry.index);
                    return Err(damage(text).into());
                }
                kept.entries.push(entry);
            }
        }
        at = next;
    }
    Ok(true)
}

/// A folder on a real disk.
#[derive(Clone)]
pub struct DiskStorage {
    path: std::path::PathBuf,
}

impl DiskStorage {
    /// Opens the folder at `path`, which is created if it is missing.
    pub fn open(path: &std::path::Path) -> io::Result<DiskStorage> {
        std::fs::create_dir_all(path)?;
        Ok(DiskStorage { path: path.into() })
    }
}

impl LogStorage for DiskStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.path.join(name);
        let mut file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)?;
        io::Write::write_all(&mut file, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        std::fs::File::open(self.path.join(name))?.sync_data()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        std::fs::OpenOptions::new()
            .write(true)
            .open(self.path.join(name))?
            .set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        std::fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        std::fs::File::open(&self.path)?.sync_all()
    }
}
