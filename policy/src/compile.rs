//! The compiler: text to tables, with every complaint and its place at once.

use crate::{Ingress, Program, Route, SetPoints, Source, Target};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;

/// What is wrong with a text, and where; both counts begin at 1.
#[derive(Debug, Clone, PartialEq)]
pub struct CompileError {
    pub line: usize,
    pub column: usize,
    pub text: String,
}

impl std::error::Error for CompileError {}

impl fmt::Display for CompileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.text
        )
    }
}

/// Reads `250ms`, `30s`, `5m` or `24h` as milliseconds.
pub fn parse_duration_ms(text: &str) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..split].parse().ok()?;
    let unit = match &text[split..] {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    count.checked_mul(unit)
}

struct Word {
    text: String,
    quoted: bool,
    column: usize,
}

/// Invariant: `next` is the place of the first word not yet taken.
struct Line {
    number: usize,
    words: Vec<Word>,
    next: usize,
    end: usize,
}

type Checked<T> = Result<T, CompileError>;

impl Line {
    fn split(number: usize, text: &str) -> Checked<Line> {
        let mut words = Vec::new();
        let mut rest = text.char_indices().peekable();
        while let Some((at, c)) = rest.next() {
            if c.is_whitespace() {
                continue;
            }
            if c == '#' {
                break;
            }
            let column = text[..at].chars().count() + 1;
            let mut word = String::new();
            let quoted = c == '"';
            if quoted {
                let mut is_closed = false;
                for (_, c) in rest.by_ref() {
                    if c == '"' {
                        is_closed = true;
                        break;
                    }
                    word.push(c);
                }
                if !is_closed {
                    return Err(CompileError {
                        line: number,
                        column,
                        text: "this text has no closing quote".into(),
                    });
                }
            } else {
                word.push(c);
                while let Some((_, c)) = rest.next_if(|(_, c)| !c.is_whitespace() && *c != '"') {
                    word.push(c);
                }
            }
            words.push(Word {
                text: word,
                quoted,
                column,
            });
        }
        Ok(Line {
            number,
            words,
            next: 0,
            end: text.chars().count() + 1,
        })
    }

    fn complaint<T>(&self, column: usize, text: impl Into<String>) -> Checked<T> {
        Err(CompileError {
            line: self.number,
            column,
            text: text.into(),
        })
    }

    fn column(&self) -> usize {
        self.words
            .get(self.next)
            .map_or(self.end, |word| word.column)
    }

    /// Complains about the word taken last.
    fn about<T>(&self, text: impl Into<String>) -> Checked<T> {
        self.complaint(self.words[self.next - 1].column, text)
    }

    fn take(&mut self, wanted: &str) -> Checked<&Word> {
        if self.next == self.words.len() {
            return self.complaint(
                self.end,
                format!("the line ends where {wanted} should stand"),
            );
        }
        self.next += 1;
        Ok(&self.words[self.next - 1])
    }

    fn word(&mut self, wanted: &str) -> Checked<String> {
        let word = self.take(wanted)?;
        if word.quoted {
            return self.about(format!("{wanted} should stand here, without quotes"));
        }
        Ok(word.text.clone())
    }

    fn text(&mut self, wanted: &str) -> Checked<String> {
        let word = self.take(wanted)?;
        if !word.quoted || word.text.is_empty() {
            return self.about(format!("{wanted} should stand here, in quotes"));
        }
        Ok(word.text.clone())
    }

    fn keyword(&mut self, wanted: &str) -> Checked<()> {
        if self.word(&format!("`{wanted}`"))? != wanted {
            return self.about(format!("`{wanted}` should stand here"));
        }
        Ok(())
    }

    fn count(&mut self, wanted: &str, most: usize) -> Checked<usize> {
        match self.word(wanted)?.parse() {
            Ok(count) if (1..=most).contains(&count) => Ok(count),
            _ => self.about(format!("{wanted} from 1 to {most} should stand here")),
        }
    }

    fn span(&mut self) -> Checked<u64> {
        match parse_duration_ms(&self.word("a time")?) {
            Some(span) if span > 0 => Ok(span),
            _ => self.about("a time such as 250ms, 30s, 5m or 24h should stand here"),
        }
    }

    fn share(&mut self) -> Checked<f64> {
        let word = self.word("a percentage")?;
        match word
            .strip_suffix('%')
            .and_then(|digits| digits.parse::<u32>().ok())
        {
            Some(share) if share <= 100 => Ok(f64::from(share) / 100.0),
            _ => self.about("a percentage from 0% to 100% should stand here"),
        }
    }

    fn source(&mut self) -> Checked<Source> {
        Ok(match self.word("a source")?.as_str() {
            "header" => Source::Header(self.text("a header's name")?.to_ascii_lowercase()),
            "bearer" => Source::Bearer,
            "segment" => Source::Segment(self.count("a segment's number", 32)?),
            "query" => Source::Query(self.text("a query field's name")?),
            "body" => {
                let path = self.text("a body field's path")?;
                let path: Vec<String> = path.split('.').map(String::from).collect();
                if path.iter().any(String::is_empty) || path.len() > 8 {
                    return self.about("a path is one to eight names with dots between");
                }
                Source::Body(path)
            }
            _ => return self.about("a source is header, bearer, segment, query or body"),
        })
    }

    /// A source that is had before the body.
    fn cheap_source(&mut self) -> Checked<Source> {
        match self.source()? {
            Source::Body(_) => self.about("a source before the body should stand here"),
            source => Ok(source),
        }
    }

    fn path(&mut self) -> Checked<String> {
        let path = self.text("a path")?;
        if !path.starts_with('/') {
            return self.about("a path begins with a slash");
        }
        Ok(path)
    }

    fn name(&mut self) -> Checked<String> {
        let name = self.word("a name")?;
        let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.len() > 64 || !name.chars().all(fits) {
            return self.about("a name is up to 64 letters, digits, dashes and underscores");
        }
        Ok(name)
    }
}

fn door(line: &mut Line, program: &Program) -> Checked<Ingress> {
    let name = line.name()?;
    if program.ingresses.iter().any(|door| door.name == name) {
        return line.about(format!("there is a door {name} already"));
    }
    line.keyword("at")?;
    let at = line.path()?;
    if !at.ends_with('/') {
        return line.about("a door's path ends with a slash");
    }
    line.keyword("tenant")?;
    let tenant = line.source()?;
    let model = match line.next < line.words.len() {
        true => {
            line.keyword("model")?;
            Some(line.source()?)
        }
        false => None,
    };
    Ok(Ingress {
        name,
        path_prefix: at,
        tenant_source: tenant,
        model_source: model,
    })
}

fn route(line: &mut Line, program: &Program) -> Checked<Route> {
    let name = line.name()?;
    if program.routes.iter().any(|route| route.name == name) {
        return line.about(format!("there is a route {name} already"));
    }
    line.keyword("on")?;
    let on = line.name()?;
    let Some(door) = program.ingresses.iter().position(|door| door.name == on) else {
        return line.about(format!("no door {on} stands above this line"));
    };
    let method = line.word("a method or `any`")?;
    if !matches!(
        method.as_str(),
        "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "any"
    ) {
        return line.about("a method is GET, HEAD, POST, PUT, PATCH, DELETE or any");
    }
    let path = line.path()?;
    let is_path_prefix = path.ends_with('*');
    let path = path.trim_end_matches('*').to_string();
    if !path.starts_with(&program.ingresses[door].path_prefix) || path.contains('*') {
        return line.about(format!(
            "the path stands below {} and has one * at most, at its end",
            program.ingresses[door].path_prefix
        ));
    }
    line.keyword("to")?;
    let target = match line.word("`model`, `service` or `split`")?.as_str() {
        "model" if program.ingresses[door].model_source.is_some() => Target::Model,
        "model" => return line.about(format!("door {on} says nothing of where the model stands")),
        "service" => Target::Service(line.name()?),
        "split" => Target::Split(split(line)?),
        _ => return line.about("`model`, `service` or `split` should stand here"),
    };
    let is_idempotent = match line.word("`once` or `repeatable`")?.as_str() {
        "once" => false,
        "repeatable" => true,
        _ => return line.about("`once` or `repeatable` should stand here"),
    };
    let method = (method != "any").then_some(method);
    let mut route = Route {
        name,
        ingress: door,
        host: None,
        method,
        path,
        is_path_prefix,
        target,
        is_idempotent,
        deadline_ms: 60_000,
        prompt_prefix: None,
        prompt_parts: None,
        prompt_size: None,
        home_regions: Vec::new(),
        urgency: None,
        max_attempts: None,
        latency_target_ms: None,
        is_public: false,
        is_resumable: false,
        is_streaming: false,
    };
    while line.next < line.words.len() {
        match line.word("a clause")?.as_str() {
            "deadline" => route.deadline_ms = line.span()?,
            "prefix" => {
                let source = line.source()?;
                route.prompt_prefix = Some((source, line.count("a length", 16_384)?));
            }
            "host" => route.host = Some(line.text("a host's name")?),
            "parts" => route.prompt_parts = Some(line.cheap_source()?),
            "size" => route.prompt_size = Some(line.cheap_source()?),
            "homes" => {
                let homes = line.text("regions with commas between")?;
                route.home_regions = homes
                    .split(',')
                    .map(|home| home.trim().to_string())
                    .collect();
            }
            "urgency" => route.urgency = Some(line.count("an urgency", 10)? as u8 - 1),
            "rounds" => route.max_attempts = Some(line.count("a count", 16)? as u32),
            "aim" => route.latency_target_ms = Some(line.span()?),
            "public" => route.is_public = true,
            "resume" => route.is_resumable = true,
            "stream" => route.is_streaming = true,
            _ => {
                return line.about(
                    "a clause is deadline, prefix, host, parts, size, homes, urgency, rounds, \
                     aim, public, resume or stream",
                )
            }
        }
    }
    let is_same = |other: &&Route| {
        route.host.is_some()
            && other.host == route.host
            && other.path == route.path
            && other.is_path_prefix == route.is_path_prefix
            && (other.method == route.method || other.method.is_none() || route.method.is_none())
    };
    if let Some(other) = program.routes.iter().find(is_same) {
        return line.about(format!("route {} has the same host and path", other.name));
    }
    Ok(route)
}

/// Services with their shares, up to `once` or `repeatable`.
fn split(line: &mut Line) -> Checked<Vec<(String, u32)>> {
    let mut shares: Vec<(String, u32)> = Vec::new();
    let is_end = |word: &Word| matches!(word.text.as_str(), "once" | "repeatable");
    while line.words.get(line.next).is_some_and(|word| !is_end(word)) {
        let name = line.name()?;
        if shares.iter().any(|(known, _)| *known == name) {
            return line.about(format!("{name} has a share already"));
        }
        let share = match line.word("a share")?.parse() {
            Ok(share) if share <= 1_000_000 => share,
            _ => return line.about("a share from 0 to 1000000 should stand here"),
        };
        shares.push((name, share));
    }
    match shares.iter().any(|(_, share)| *share > 0) {
        true => Ok(shares),
        false => line.complaint(line.column(), "the shares of a split add up to nothing"),
    }
}

fn set(line: &mut Line, points: &mut SetPoints) -> Checked<()> {
    match line.word("a set point")?.as_str() {
        "fill" => points.target_utilization = line.share()?.max(0.05),
        "retries" => points.retry_ratio = line.share()?.min(0.2),
        "fresh" => points.fresh_ms = line.span()?,
        "expire" => points.expire_ms = line.span()?,
        _ => return line.about("a set point is fill, retries, fresh or expire"),
    }
    Ok(())
}

/// Compiles a text. Either the whole of it is taken, or each line's first
/// complaint is returned and nothing is.
pub fn compile(text: &str) -> Result<Program, Vec<CompileError>> {
    let hosts = HashMap::new();
    let mut program = Program {
        ingresses: Vec::new(),
        routes: Vec::new(),
        set_points: SetPoints::default(),
        hosts,
    };
    let mut complaints = Vec::new();
    for (place, text) in text.lines().enumerate() {
        let mut statement = || -> Checked<()> {
            let mut line = Line::split(place + 1, text)?;
            if line.words.is_empty() {
                return Ok(());
            }
            match line.word("a statement")?.as_str() {
                "door" => {
                    let door = door(&mut line, &program)?;
                    program.ingresses.push(door);
                }
                "route" => {
                    let route = route(&mut line, &program)?;
                    program.routes.push(route);
                }
                "set" => set(&mut line, &mut program.set_points)?,
                _ => return line.about("a statement begins with door, route or set"),
            }
            match line.next == line.words.len() {
                true => Ok(()),
                false => line.complaint(line.column(), "nothing more should stand on this line"),
            }
        };
        if let Err(complaint) = statement() {
            complaints.push(complaint);
        }
    }
    if program.set_points.fresh_ms > program.set_points.expire_ms {
        let text = "`fresh` is longer than `expire`".into();
        complaints.push(CompileError {
            line: 1,
            column: 1,
            text,
        });
    }
    for (at, route) in program.routes.iter().enumerate() {
        if let Some(host) = &route.host {
            program.hosts.entry(host.clone()).or_default().push(at);
        }
    }
    let routes = &program.routes;
    program
        .hosts
        .values_mut()
        .for_each(|of| of.sort_by_key(|at| Reverse(routes[*at].path.len())));
    match complaints.is_empty() {
        true => Ok(program),
        false => Err(complaints),
    }
}
