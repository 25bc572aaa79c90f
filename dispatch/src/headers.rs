//! Headers that a proxy must not pass on, and headers within frames.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Headers that concern one connection alone (RFC 9110, section 7.6.1), and
/// `expect`, which the listener has answered already.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Headers that only rushport's own processes may set.
const RESERVED_PREFIX: &str = "x-rushport-";

/// Removes hop-by-hop headers, those that `connection` lists, and the reserved
/// `x-rushport-` headers.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed = connection_options(headers);
    for name in HOP_BY_HOP
        .iter()
        .copied()
        .chain(listed.iter().map(String::as_str))
    {
        headers.remove(name);
    }
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(RESERVED_PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
}

/// The names that the `connection` headers list, in lower case.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

/// Headers as a frame carried them.
///
/// # Errors
/// A name or a value that HTTP does not allow.
pub fn headers_from_frame(list: &[protocol::Header]) -> Result<HeaderMap, http::Error> {
    let mut headers = HeaderMap::new();
    for header in list {
        headers.append(
            HeaderName::from_bytes(header.name.as_bytes())?,
            HeaderValue::from_bytes(&header.value)?,
        );
    }
    Ok(headers)
}

/// Headers as a frame carries them.
pub fn headers_to_frame(headers: &HeaderMap) -> Vec<protocol::Header> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| protocol::Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(header).collect()
}
