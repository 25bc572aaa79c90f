//! Reading a job's tenant key, service and prefix by the compiled rules.

use crate::{find_field, FieldSearch, Program, Source, Target};
use sha2::{Digest, Sha256};

/// The head of a job, as the door saw it. `header` is handed the lower-case
/// name.
pub struct RequestHead<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub query: &'a str,
    pub header: &'a dyn Fn(&str) -> Option<String>,
    /// The job's own number: what a split goes by where it has no prefix.
    pub split_seed: u64,
}

/// One value of the key. Invariant: `Pending` is only given while the body may
/// still go on and is below the cap.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyField {
    Known(String),
    Pending,
    Missing,
}

/// What is known of a job's key so far.
#[derive(Debug, PartialEq)]
pub struct ExtractedKey {
    pub tenant: KeyField,
    pub service: KeyField,
    /// The fingerprint of the prompt's prefix, 0 where the route names none.
    pub prefix_hash: Option<u64>,
}

impl ExtractedKey {
    pub fn is_complete(&self) -> bool {
        self.tenant != KeyField::Pending
            && self.service != KeyField::Pending
            && self.prefix_hash.is_some()
    }
}

/// Invariant: a body that has ended, or has reached the cap, grows no more.
struct Body<'a> {
    text: &'a [u8],
    ended: bool,
    may_grow: bool,
}

/// The digest under which a tenant key is kept and compared.
pub fn sha256_hex(key: &str) -> String {
    Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// A number for a text, to rank and compare by. All processes draw alike.
pub fn stable_hash(text: &[u8]) -> u64 {
    let digest = Sha256::digest(text);
    u64::from_be_bytes(digest[..8].try_into().expect("eight bytes of a digest"))
}

fn decoded(raw: &[u8]) -> Option<String> {
    let mut quoted = Vec::with_capacity(raw.len() + 2);
    quoted.push(b'"');
    quoted.extend_from_slice(raw);
    quoted.push(b'"');
    simd_json::from_slice::<String>(&mut quoted).ok()
}

fn unescaped(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let pair = [rest.next()?, rest.next()?];
        let pair = std::str::from_utf8(&pair).ok()?;
        bytes.push(u8::from_str_radix(pair, 16).ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// A value that stands before the body.
pub(crate) fn read_cheap(source: &Source, head: &RequestHead) -> Option<String> {
    match source {
        Source::Header(name) => (head.header)(name),
        _ => match read(
            source,
            head,
            &Body {
                text: &[],
                ended: true,
                may_grow: false,
            },
        ) {
            KeyField::Known(text) => Some(text),
            _ => None,
        },
    }
}

fn read(source: &Source, head: &RequestHead, body: &Body) -> KeyField {
    let value = match source {
        Source::Header(name) => (head.header)(name),
        Source::Bearer => (head.header)("authorization").and_then(|value| {
            let (scheme, token) = value.split_once(' ')?;
            scheme
                .eq_ignore_ascii_case("bearer")
                .then(|| token.trim().to_string())
        }),
        Source::Segment(place) => head
            .path
            .split('/')
            .filter(|part| !part.is_empty())
            .nth(place - 1)
            .and_then(unescaped),
        Source::Query(name) => head.query.split('&').find_map(|pair| {
            let (left, right) = pair.split_once('=')?;
            (left == name).then(|| unescaped(right))?
        }),
        Source::Body(path) => match find_field(body.text, path, body.ended) {
            FieldSearch::Found {
                raw,
                is_complete: true,
            } => decoded(&raw),
            FieldSearch::Found {
                is_complete: false, ..
            }
            | FieldSearch::Incomplete
                if body.may_grow =>
            {
                return KeyField::Pending
            }
            _ => None,
        },
    };
    match value {
        Some(text) if !text.is_empty() && text.len() <= 256 => KeyField::Known(text),
        _ => KeyField::Missing,
    }
}

fn prefix(source: &Source, length: usize, head: &RequestHead, body: &Body) -> Option<u64> {
    let Source::Body(path) = source else {
        return match read(source, head, body) {
            KeyField::Known(text) => Some(stable_hash(&text.as_bytes()[..text.len().min(length)])),
            _ => Some(0),
        };
    };
    match find_field(body.text, path, body.ended) {
        FieldSearch::Found { raw, is_complete }
            if is_complete || raw.len() >= length || !body.may_grow =>
        {
            Some(stable_hash(&raw[..raw.len().min(length)]))
        }
        FieldSearch::Found { .. } | FieldSearch::Incomplete if body.may_grow => None,
        _ => Some(0),
    }
}

/// The service whose share a number falls into.
fn drawn(shares: &[(String, u32)], number: u64) -> String {
    let sum: u64 = shares.iter().map(|(_, share)| u64::from(*share)).sum();
    let mut left = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) % sum;
    for (name, share) in shares {
        match left.checked_sub(u64::from(*share)) {
            None => return name.clone(),
            Some(rest) => left = rest,
        }
    }
    unreachable!("a number below the sum falls into a share")
}

impl Program {
    /// Reads the key of a job on `route` from its head and as much of its
    /// body as is there. `ended` says that the body is complete; past `cap`
    /// none of it is looked at.
    pub fn extract_key(
        &self,
        route: usize,
        head: &RequestHead,
        body: &[u8],
        ended: bool,
        cap: usize,
    ) -> ExtractedKey {
        let route = &self.routes[route];
        let door = &self.ingresses[route.ingress];
        let body = Body {
            text: &body[..body.len().min(cap)],
            ended: ended && body.len() <= cap,
            may_grow: !ended && body.len() < cap,
        };
        let prefix = match (&route.prompt_prefix, &route.prompt_parts) {
            (Some((source, length)), _) => prefix(source, *length, head, &body),
            (None, Some(_)) => Some(self.prompt(route, head).shared_prefix_hash()),
            (None, None) => Some(0),
        };
        let service = match (&route.target, &door.model_source) {
            (Target::Service(name), _) => KeyField::Known(name.clone()),
            (Target::Split(shares), _) => match prefix {
                Some(0) => KeyField::Known(drawn(shares, head.split_seed)),
                Some(prefix) => KeyField::Known(drawn(shares, prefix)),
                None => KeyField::Pending,
            },
            (Target::Model, Some(source)) => read(source, head, &body),
            (Target::Model, None) => KeyField::Missing,
        };
        ExtractedKey {
            tenant: read(&door.tenant_source, head, &body),
            service,
            prefix_hash: prefix,
        }
    }
}
