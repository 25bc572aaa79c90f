//! Extracting a request's routing key (tenant key, service, prompt prefix) by the compiled
//! rules, from its head and as much of its body as has come.

use crate::hash::stable_hash;
use crate::json_field::{find_field, FieldSearch};
use crate::program::{
    Ingress, Program, PromptPrefix, RequestHead, Route, Source, Target, WeightedService,
};

/// The most bytes of a request's body that a router holds back while it looks for the key.
pub const BODY_LIMIT_BYTES: usize = 64 * 1024;

/// The most bytes of a value of the key.
const MAX_VALUE_BYTES: usize = 256;

/// One value of the key. Invariant: it is `Pending` only while the body may still grow.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyField {
    /// The value.
    Known(String),
    /// It may stand in a part of the body that has not come.
    Pending,
    /// It is not there, empty, or too long.
    Missing,
}

/// What is known of a request's key so far.
#[derive(Debug, PartialEq)]
pub struct ExtractedKey {
    /// The tenant key.
    pub tenant: KeyField,
    /// The service.
    pub service: KeyField,
    /// The hash of the prompt's prefix; 0 where the route names none, `None` while more of
    /// the body is needed.
    pub prefix_hash: Option<u64>,
}

impl ExtractedKey {
    /// Whether more of the body would change nothing.
    pub fn is_complete(&self) -> bool {
        self.tenant != KeyField::Pending
            && self.service != KeyField::Pending
            && self.prefix_hash.is_some()
    }
}

/// The part of a body that is looked at. Invariant: a body that is complete, or has reached
/// the limit, grows no more.
struct Body<'a> {
    bytes: &'a [u8],
    is_complete: bool,
    may_grow: bool,
}

impl Program {
    /// Extracts the key of a request on the route of index `route`. `is_body_complete` says
    /// that no more of the body will come; past `limit_bytes` none of it is looked at.
    ///
    /// # Panics
    /// If `route` is not an index that [`Program::match_route`] of this program gave.
    pub fn extract_key(
        &self,
        route: usize,
        head: &RequestHead,
        body: &[u8],
        is_body_complete: bool,
        limit_bytes: usize,
    ) -> ExtractedKey {
        let route = &self.routes[route];
        let ingress = &self.ingresses[route.ingress];
        let body = Body {
            bytes: &body[..body.len().min(limit_bytes)],
            is_complete: is_body_complete && body.len() <= limit_bytes,
            may_grow: !is_body_complete && body.len() < limit_bytes,
        };
        let prefix_hash = match (&route.prompt_prefix, &route.prompt_parts) {
            (Some(prefix), _) => read_prefix_hash(prefix, head, &body),
            (None, Some(_)) => Some(self.prompt(route, head).shared_prefix_hash()),
            (None, None) => Some(0),
        };
        ExtractedKey {
            tenant: read_field(&ingress.tenant_source, head, &body),
            service: read_service(route, ingress, head, &body),
            prefix_hash,
        }
    }
}

fn read_service(route: &Route, ingress: &Ingress, head: &RequestHead, body: &Body) -> KeyField {
    match (&route.target, &ingress.model_source) {
        (Target::Service(name), _) => KeyField::Known(name.clone()),
        (Target::Split(services), _) => KeyField::Known(choose_service(services, head.split_seed)),
        (Target::Model, Some(source)) => read_field(source, head, body),
        (Target::Model, None) => KeyField::Missing,
    }
}

/// The value of a source in the head; `None` for one in the body, too.
fn read_head(source: &Source, head: &RequestHead) -> Option<String> {
    match source {
        Source::Header(name) => (head.header)(name),
        Source::Bearer => {
            let authorization = (head.header)("authorization")?;
            let (scheme, token) = authorization.split_once(' ')?;
            let is_bearer = scheme.eq_ignore_ascii_case("bearer");
            is_bearer.then(|| token.trim().to_string())
        }
        Source::Segment(number) => {
            let mut segments = head.path.split('/').filter(|segment| !segment.is_empty());
            percent_decode(segments.nth(number - 1)?)
        }
        Source::Query(name) => head.query.split('&').find_map(|pair| {
            let (field, value) = pair.split_once('=')?;
            (field == name).then(|| percent_decode(value))?
        }),
        Source::Body(_) => None,
    }
}

fn is_key_value(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_VALUE_BYTES
}

/// What a request's head says of its prompt, by a source before the body. A header may be
/// of any length, since it lists the prompt's parts.
pub(crate) fn read_prompt_source(source: &Source, head: &RequestHead) -> Option<String> {
    let value = read_head(source, head)?;
    let is_header = matches!(source, Source::Header(_));
    (is_header || is_key_value(&value)).then_some(value)
}

fn read_field(source: &Source, head: &RequestHead, body: &Body) -> KeyField {
    let value = match source {
        Source::Body(path) => match find_field(body.bytes, path, body.is_complete) {
            FieldSearch::Found {
                raw,
                is_complete: true,
            } => json_unescape(&raw),
            FieldSearch::Found { .. } | FieldSearch::Incomplete if body.may_grow => {
                return KeyField::Pending
            }
            _ => None,
        },
        source => read_head(source, head),
    };
    match value {
        Some(text) if is_key_value(&text) => KeyField::Known(text),
        _ => KeyField::Missing,
    }
}

/// The hash of a prompt's prefix; 0 where the text is missing, `None` while too little of
/// it has come.
fn read_prefix_hash(prefix: &PromptPrefix, head: &RequestHead, body: &Body) -> Option<u64> {
    let hash = |text: &[u8]| stable_hash(&text[..text.len().min(prefix.max_bytes)]);
    let Source::Body(path) = &prefix.source else {
        return match read_field(&prefix.source, head, body) {
            KeyField::Known(text) => Some(hash(text.as_bytes())),
            _ => Some(0),
        };
    };
    match find_field(body.bytes, path, body.is_complete) {
        FieldSearch::Found { raw, is_complete }
            if is_complete || raw.len() >= prefix.max_bytes || !body.may_grow =>
        {
            Some(hash(&raw))
        }
        FieldSearch::Found { .. } | FieldSearch::Incomplete if body.may_grow => None,
        _ => Some(0),
    }
}

/// Undoes the escapes of a JSON string that lies without its quotes.
fn json_unescape(raw: &[u8]) -> Option<String> {
    let mut quoted = Vec::with_capacity(raw.len() + 2);
    quoted.push(b'"');
    quoted.extend_from_slice(raw);
    quoted.push(b'"');
    simd_json::from_slice::<String>(&mut quoted).ok()
}

fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// The service whose share a hash falls into.
fn choose_service(services: &[WeightedService], hash: u64) -> String {
    // Fibonacci hashing: spreads hashes that differ little.
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let weights = services.iter().map(|service| u64::from(service.weight));
    let sum: u64 = weights.sum();
    let mut rest = hash.wrapping_mul(GOLDEN_RATIO) % sum;
    for service in services {
        match rest.checked_sub(u64::from(service.weight)) {
            None => return service.service.clone(),
            Some(less) => rest = less,
        }
    }
    unreachable!("a number below the sum of the weights falls into a share")
}
