//! One line of rules as words, and taking them in order.

use crate::error::{CompileError, CompileErrorKind, Parsed};

/// A word of a line.
struct Word {
    /// Its text, without quotes.
    text: String,
    is_quoted: bool,
    /// The column of its first character, from 1.
    column: usize,
}

impl Word {
    /// The word as it was written.
    fn written(&self) -> String {
        match self.is_quoted {
            true => format!("\"{}\"", self.text),
            false => self.text.clone(),
        }
    }
}

/// The words of a line. Invariant: `next` is the index of the first word not yet taken.
pub(crate) struct Statement {
    line: usize,
    words: Vec<Word>,
    next: usize,
    /// The column after the line's last character.
    end_column: usize,
}

impl Statement {
    /// Splits a line into words, up to a comment.
    pub(crate) fn split(line: usize, text: &str) -> Parsed<Statement> {
        let mut words = Vec::new();
        let mut chars = text.chars().zip(1..).peekable();
        while let Some((first, column)) = chars.next() {
            if first.is_whitespace() {
                continue;
            }
            if first == '#' {
                break;
            }
            let is_quoted = first == '"';
            let mut word = String::new();
            if is_quoted {
                let mut is_closed = false;
                for (c, _) in chars.by_ref() {
                    if c == '"' {
                        is_closed = true;
                        break;
                    }
                    word.push(c);
                }
                if !is_closed {
                    let kind = CompileErrorKind::UnclosedQuote;
                    return Err(CompileError { line, column, kind });
                }
            } else {
                word.push(first);
                while let Some((c, _)) = chars.next_if(|(c, _)| !c.is_whitespace() && *c != '"') {
                    word.push(c);
                }
            }
            words.push(Word {
                text: word,
                is_quoted,
                column,
            });
        }
        Ok(Statement {
            line,
            words,
            next: 0,
            end_column: text.chars().count() + 1,
        })
    }

    /// Whether the line has no words at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Whether all words have been taken.
    pub(crate) fn is_at_end(&self) -> bool {
        self.next == self.words.len()
    }

    /// The text of the next word, without taking it.
    pub(super) fn peek(&self) -> Option<&str> {
        self.words.get(self.next).map(|word| word.text.as_str())
    }

    /// An error at a column.
    fn error_at<T>(&self, column: usize, kind: CompileErrorKind) -> Parsed<T> {
        Err(CompileError {
            line: self.line,
            column,
            kind,
        })
    }

    /// An error at the word taken last.
    pub(crate) fn error<T>(&self, kind: CompileErrorKind) -> Parsed<T> {
        self.error_at(self.last().column, kind)
    }

    /// An error at the next word, or at the line's end.
    pub(super) fn error_at_next<T>(&self, kind: CompileErrorKind) -> Parsed<T> {
        let next = self.words.get(self.next);
        self.error_at(next.map_or(self.end_column, |word| word.column), kind)
    }

    /// The word taken last is not what belongs there.
    pub(crate) fn unexpected<T>(&self, expected: impl Into<String>) -> Parsed<T> {
        self.error(CompileErrorKind::Unexpected {
            expected: expected.into(),
            found: self.last().written(),
        })
    }

    /// The word taken last. Invariant: one has been taken.
    fn last(&self) -> &Word {
        &self.words[self.next - 1]
    }

    fn take(&mut self, expected: &str) -> Parsed<&Word> {
        if self.is_at_end() {
            let expected = expected.into();
            return self.error_at(self.end_column, CompileErrorKind::LineEnds { expected });
        }
        self.next += 1;
        Ok(self.last())
    }

    /// Takes a word without quotes.
    pub(crate) fn word(&mut self, expected: &str) -> Parsed<String> {
        let word = self.take(expected)?;
        if word.is_quoted {
            return self.unexpected(format!("{expected} without quotes"));
        }
        Ok(word.text.clone())
    }

    /// Takes a text in quotes that is not empty.
    pub(super) fn quoted(&mut self, expected: &str) -> Parsed<String> {
        let word = self.take(expected)?;
        if !word.is_quoted || word.text.is_empty() {
            return self.unexpected(format!("{expected} in quotes"));
        }
        Ok(word.text.clone())
    }

    /// Takes one certain word.
    pub(super) fn keyword(&mut self, keyword: &str) -> Parsed<()> {
        let expected = format!("`{keyword}`");
        if self.word(&expected)? != keyword {
            return self.unexpected(expected);
        }
        Ok(())
    }

    /// Checks that all words have been taken.
    pub(crate) fn end(&self) -> Parsed<()> {
        match self.words.get(self.next) {
            None => Ok(()),
            Some(word) => self.error_at(
                word.column,
                CompileErrorKind::TrailingWords {
                    found: word.written(),
                },
            ),
        }
    }
}
