//! Finding one field in a JSON body of which only the beginning may be there.

/// What a look at the beginning of a body gave.
#[derive(Debug, PartialEq)]
pub enum FieldSearch {
    /// The raw text of the value, without quotes. `whole` is false when the
    /// body so far ends within it.
    Found {
        raw: Vec<u8>,
        is_complete: bool,
    },
    /// The body so far ends before the field could be seen or ruled out.
    Incomplete,
    Absent,
    /// Not JSON, or nested past the bound, at this offset.
    Malformed(usize),
}

const DEPTH: usize = 64;

enum Stop {
    End,
    Bad(usize),
}

/// Invariant: `at` never passes the end of `text`.
struct Cursor<'a> {
    text: &'a [u8],
    at: usize,
}

impl Cursor<'_> {
    fn peek(&mut self) -> Result<u8, Stop> {
        while let Some(byte) = self.text.get(self.at) {
            if !matches!(byte, b' ' | b'\t' | b'\r' | b'\n') {
                return Ok(*byte);
            }
            self.at += 1;
        }
        Err(Stop::End)
    }

    fn take(&mut self, wanted: u8) -> Result<(), Stop> {
        if self.peek()? != wanted {
            return Err(Stop::Bad(self.at));
        }
        self.at += 1;
        Ok(())
    }

    /// Passes over a string; its raw text lies between the returned places.
    fn string(&mut self) -> Result<(usize, usize), Stop> {
        self.take(b'"')?;
        let start = self.at;
        loop {
            match self.text.get(self.at) {
                None => return Err(Stop::End),
                Some(b'"') => {
                    self.at += 1;
                    return Ok((start, self.at - 1));
                }
                Some(b'\\') => self.at = (self.at + 2).min(self.text.len()),
                Some(byte) if *byte < 0x20 => return Err(Stop::Bad(self.at)),
                Some(_) => self.at += 1,
            }
        }
    }

    fn scalar(&mut self) -> Result<(usize, usize), Stop> {
        let start = self.at;
        while let Some(byte) = self.text.get(self.at) {
            if matches!(byte, b',' | b'}' | b']' | b' ' | b'\t' | b'\r' | b'\n') {
                let known = std::str::from_utf8(&self.text[start..self.at]).is_ok_and(|word| {
                    matches!(word, "true" | "false" | "null") || word.parse::<f64>().is_ok()
                });
                return if known {
                    Ok((start, self.at))
                } else {
                    Err(Stop::Bad(start))
                };
            }
            self.at += 1;
        }
        Err(Stop::End)
    }

    fn skip(&mut self) -> Result<(), Stop> {
        let mut open = Vec::new();
        loop {
            match self.peek()? {
                b'"' => {
                    self.string()?;
                }
                byte @ (b'{' | b'[') => {
                    if open.len() == DEPTH {
                        return Err(Stop::Bad(self.at));
                    }
                    open.push(byte + 2);
                    self.at += 1;
                }
                byte @ (b'}' | b']') => {
                    if open.pop() != Some(byte) {
                        return Err(Stop::Bad(self.at));
                    }
                    self.at += 1;
                }
                b',' | b':' if !open.is_empty() => {
                    self.at += 1;
                    continue;
                }
                _ => {
                    self.scalar()?;
                }
            }
            if open.is_empty() {
                return Ok(());
            }
        }
    }

    /// Stands before the value at `path`, or says that there is none.
    fn seek(&mut self, path: &[String]) -> Result<bool, Stop> {
        for (depth, name) in path.iter().enumerate() {
            if self.peek()? != b'{' {
                return if depth == 0 {
                    Err(Stop::Bad(self.at))
                } else {
                    Ok(false)
                };
            }
            self.at += 1;
            if self.peek()? == b'}' {
                return Ok(false);
            }
            loop {
                let (start, end) = self.string()?;
                self.take(b':')?;
                if &self.text[start..end] == name.as_bytes() {
                    break;
                }
                self.skip()?;
                match self.peek()? {
                    b',' => self.at += 1,
                    b'}' => return Ok(false),
                    _ => return Err(Stop::Bad(self.at)),
                }
            }
        }
        Ok(true)
    }
}

/// Looks for the field at `path`. `ended` says that no more body will come,
/// so that an unfinished document is malformed rather than in want of more.
/// Where a name stands twice, the first counts.
pub fn find_field(text: &[u8], path: &[String], ended: bool) -> FieldSearch {
    let mut cursor = Cursor { text, at: 0 };
    let mut start = 0;
    let mut look = || -> Result<Option<(usize, usize)>, Stop> {
        if !cursor.seek(path)? {
            return Ok(None);
        }
        match cursor.peek()? {
            b'"' => {
                start = cursor.at + 1;
                cursor.string().map(Some)
            }
            b'{' | b'[' => Ok(None),
            _ => cursor.scalar().map(Some),
        }
    };
    match look() {
        Ok(Some((from, to))) => FieldSearch::Found {
            raw: text[from..to].to_vec(),
            is_complete: true,
        },
        Ok(None) => FieldSearch::Absent,
        Err(Stop::Bad(at)) => FieldSearch::Malformed(at),
        Err(Stop::End) if ended => FieldSearch::Malformed(text.len()),
        Err(Stop::End) if start > 0 => FieldSearch::Found {
            raw: text[start..].to_vec(),
            is_complete: false,
        },
        Err(Stop::End) => FieldSearch::Incomplete,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fields_are_found_in_whole_and_partial_bodies() {
        let found = |raw: &str, whole| FieldSearch::Found {
            raw: raw.into(),
            is_complete: whole,
        };
        let cases: Vec<(&str, &str, bool, FieldSearch)> = vec![
            (r#"{"model":"a"}"#, "model", true, found("a", true)),
            (
                r#"{"x":[1,{"model":"no"}],"model":"a""#,
                "model",
                false,
                found("a", true),
            ),
            (r#"{"a":{"k":"v"}}"#, "a.k", true, found("v", true)),
            (r#"{"a":7}"#, "a", true, found("7", true)),
            (r#"{"a":"par"#, "a", false, found("par", false)),
            (r#"{"a":"par"#, "a", true, FieldSearch::Malformed(9)),
            (r#"{"b":1"#, "a", false, FieldSearch::Incomplete),
            (r#"{"b":1}"#, "a", true, FieldSearch::Absent),
            (r#"{}"#, "a", true, FieldSearch::Absent),
            ("", "a", true, FieldSearch::Malformed(0)),
            ("[1]", "a", true, FieldSearch::Malformed(0)),
            (r#"{"b":zzz,"a":1}"#, "a", true, FieldSearch::Malformed(5)),
            (r#"{"b":[}],"a":1}"#, "a", true, FieldSearch::Malformed(6)),
            (r#"{"a":{"b":1}}"#, "a", true, FieldSearch::Absent),
            (r#"{"q":"\"a\":","a":"x"}"#, "a", true, found("x", true)),
        ];
        for (text, path, ended, wanted) in cases {
            let path: Vec<String> = path.split('.').map(String::from).collect();
            assert_eq!(find_field(text.as_bytes(), &path, ended), wanted, "{text}");
        }
    }

    #[test]
    fn endless_nesting_is_refused_at_the_bound() {
        let text = format!("{{\"b\":{}", "[".repeat(1000));
        assert!(matches!(
            find_field(text.as_bytes(), &["a".into()], false),
            FieldSearch::Malformed(_)
        ));
    }

    proptest::proptest! {
        /// Wherever the body is cut, the reading never changes its mind.
        #[test]
        fn a_cut_body_never_gives_another_value(cut in 0usize..60, value in "[a-z]{1,12}") {
            let text = format!(r#"{{"pad":{{"k":[1,2,"x"]}},"model":"{value}","z":1}}"#);
            let cut = cut.min(text.len());
            match find_field(&text.as_bytes()[..cut], &["model".into()], false) {
                FieldSearch::Found { raw, is_complete: true } => assert_eq!(raw, value.as_bytes()),
                FieldSearch::Found { raw, is_complete: false } => assert!(value.as_bytes().starts_with(&raw)),
                FieldSearch::Incomplete => {}
                other => panic!("{other:?}"),
            }
        }
    }
}
