//! A simulated client: sends one request, reads the complete response, and reports exactly
//! what it saw.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// What a client saw of one request.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientOutcome {
    /// One engine's complete response to this very request.
    Complete {
        /// The engine's name.
        engine: String,
        /// The engine's number for the run.
        run: u64,
        /// The engine had the prompt's prefix in its cache.
        is_warm: bool,
    },
    /// An error response.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// `not-run` or `unknown`, as the header says.
        outcome: String,
        /// The error's code, from the body.
        code: String,
        /// Seconds after which the client is to come back.
        retry_after: Option<u64>,
    },
    /// The response ended visibly before its end.
    Truncated,
    /// No connection was made; nothing was sent.
    ConnectFailed,
    /// The connection failed or timed out before a response.
    NoResponse(String),
    /// The response looked complete, and was not one engine's to this request. This must
    /// never happen.
    Corrupt(String),
}

/// A request as a client sends it.
pub struct ClientRequest {
    /// The request's identifier.
    pub id: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers beside the identifier's.
    pub headers: Vec<(String, String)>,
    /// The body; it may be empty.
    pub body: Vec<u8>,
}

/// Sends a request to a router, and waits so long for the end of the response.
pub async fn send_request(
    router: SocketAddr,
    request: &ClientRequest,
    timeout: Duration,
) -> ClientOutcome {
    match tokio::time::timeout(timeout, exchange(router, request)).await {
        Ok(Ok(seen)) => seen,
        Ok(Err(error)) => ClientOutcome::NoResponse(format!("{error:#}")),
        Err(_) => ClientOutcome::NoResponse("no response in time".into()),
    }
}

async fn exchange(router: SocketAddr, request: &ClientRequest) -> anyhow::Result<ClientOutcome> {
    let Ok(stream) = tokio::net::TcpStream::connect(router).await else {
        return Ok(ClientOutcome::ConnectFailed);
    };
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let _driver = transport::AbortOnDrop(driver.abort_handle());
    let mut message = hyper::Request::builder()
        .method(request.method.as_str())
        .uri(&request.target)
        .header("host", router.to_string())
        .header(transport::rejection::REQUEST_ID_HEADER, &request.id);
    for (name, value) in &request.headers {
        message = message.header(name, value);
    }
    let response = sender
        .send_request(message.body(Full::new(request.body.clone().into()))?)
        .await?;
    let status = response.status().as_u16();
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_string()
    };
    let (outcome, is_warm) = (
        header(transport::rejection::OUTCOME_HEADER),
        header("x-prefix") == "warm",
    );
    let retry_after = header("retry-after").parse().ok();
    let has_leaked = response
        .headers()
        .keys()
        .any(|name| name.as_str().contains("mapping"));
    let mut body = response.into_body();
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return Ok(ClientOutcome::Truncated),
        }
    }
    if status != 200 {
        let value = simd_json::to_owned_value(&mut text).unwrap_or_default();
        let code = value
            .get("code")
            .and_then(|v| v.as_str())
            .unwrap_or("")
            .to_string();
        return Ok(ClientOutcome::Rejected {
            status,
            outcome,
            code,
            retry_after,
        });
    }
    if has_leaked {
        return Ok(ClientOutcome::Corrupt(
            "the mapping was not stripped".into(),
        ));
    }
    Ok(verify_response(request, &text, is_warm))
}

/// Whether a response that ended well is complete and of this request.
pub fn verify_response(request: &ClientRequest, text: &[u8], is_warm: bool) -> ClientOutcome {
    let sum = policy::sha256_hex(&String::from_utf8_lossy(&request.body));
    let mut first: Option<(String, u64, u64)> = None;
    let mut count = 0;
    for line in text
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        let Ok(value) = simd_json::to_owned_value(&mut line.to_vec()) else {
            return ClientOutcome::Corrupt("a piece can't be read".into());
        };
        let word = |name: &str| {
            value
                .get(name)
                .and_then(|v| v.as_str())
                .unwrap_or("")
                .to_string()
        };
        let number = |name: &str| value.get(name).and_then(|v| v.as_u64()).unwrap_or(u64::MAX);
        if word("job") != request.id || word("sum") != sum {
            return ClientOutcome::Corrupt("a piece is of another job".into());
        }
        if number("piece") != count {
            return ClientOutcome::Corrupt(format!(
                "piece {} stands where {count} should",
                number("piece")
            ));
        }
        let this = (word("engine"), number("run"), number("of"));
        if first.get_or_insert(this.clone()) != &this {
            return ClientOutcome::Corrupt("pieces of two runs".into());
        }
        count += 1;
    }
    match first {
        Some((engine, run, of)) if of == count => ClientOutcome::Complete {
            engine,
            run,
            is_warm,
        },
        _ => ClientOutcome::Corrupt("it looks finished and is not".into()),
    }
}
