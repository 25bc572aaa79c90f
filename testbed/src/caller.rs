//! A stand-in caller: sends one job, reads the whole answer, and says exactly
//! what it saw.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Clone, PartialEq)]
pub enum Seen {
    /// An engine's whole answer to this very job.
    Whole {
        engine: String,
        run: u64,
        is_warm: bool,
    },
    /// A refusal, with its outcome as stated, its code, and when to come back.
    Refused {
        status: u16,
        outcome: String,
        code: String,
        retry_after: Option<u64>,
    },
    /// The answer broke, visibly.
    Broken,
    /// No connection came about; nothing was sent.
    Unreached,
    /// The connection failed or timed out before an answer.
    Lost(String),
    /// The answer looked whole, and was not the engine's own to this job. This
    /// must never happen.
    Wrong(String),
}

pub struct Call {
    pub id: String,
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub async fn call(door: SocketAddr, call: &Call, patience: Duration) -> Seen {
    match tokio::time::timeout(patience, converse(door, call)).await {
        Ok(Ok(seen)) => seen,
        Ok(Err(error)) => Seen::Lost(format!("{error:#}")),
        Err(_) => Seen::Lost("no answer in time".into()),
    }
}

async fn converse(door: SocketAddr, call: &Call) -> anyhow::Result<Seen> {
    let Ok(stream) = tokio::net::TcpStream::connect(door).await else {
        return Ok(Seen::Unreached);
    };
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let _driver = transport::AbortOnDrop(driver.abort_handle());
    let mut request = hyper::Request::builder()
        .method(call.method.as_str())
        .uri(&call.target)
        .header("host", door.to_string())
        .header(transport::rejection::REQUEST_ID_HEADER, &call.id);
    for (name, value) in &call.headers {
        request = request.header(name, value);
    }
    let answer = sender
        .send_request(request.body(Full::new(call.body.clone().into()))?)
        .await?;
    let status = answer.status().as_u16();
    let header = |name: &str| {
        answer
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
    let has_leaked = answer
        .headers()
        .keys()
        .any(|name| name.as_str().contains("mapping"));
    let mut body = answer.into_body();
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend(frame.into_data().unwrap_or_default()),
            Err(_) => return Ok(Seen::Broken),
        }
    }
    if status != 200 {
        let value = simd_json::to_owned_value(&mut text).unwrap_or_default();
        let code = value
            .get("code")
            .and_then(|v| v.as_str())
            .unwrap_or("")
            .to_string();
        return Ok(Seen::Refused {
            status,
            outcome,
            code,
            retry_after,
        });
    }
    if has_leaked {
        return Ok(Seen::Wrong("the mapping was not stripped".into()));
    }
    Ok(judge(call, &text, is_warm))
}

/// Whether an answer that ended well is whole and this job's own.
pub fn judge(call: &Call, text: &[u8], is_warm: bool) -> Seen {
    let sum = policy::sha256_hex(&String::from_utf8_lossy(&call.body));
    let mut first: Option<(String, u64, u64)> = None;
    let mut count = 0;
    for line in text
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
    {
        let Ok(value) = simd_json::to_owned_value(&mut line.to_vec()) else {
            return Seen::Wrong("a piece can't be read".into());
        };
        let word = |name: &str| {
            value
                .get(name)
                .and_then(|v| v.as_str())
                .unwrap_or("")
                .to_string()
        };
        let number = |name: &str| value.get(name).and_then(|v| v.as_u64()).unwrap_or(u64::MAX);
        if word("job") != call.id || word("sum") != sum {
            return Seen::Wrong("a piece is of another job".into());
        }
        if number("piece") != count {
            return Seen::Wrong(format!(
                "piece {} stands where {count} should",
                number("piece")
            ));
        }
        let this = (word("engine"), number("run"), number("of"));
        if first.get_or_insert(this.clone()) != &this {
            return Seen::Wrong("pieces of two runs".into());
        }
        count += 1;
    }
    match first {
        Some((engine, run, of)) if of == count => Seen::Whole {
            engine,
            run,
            is_warm,
        },
        _ => Seen::Wrong("it looks finished and is not".into()),
    }
}
