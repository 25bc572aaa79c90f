//! A body that is received whole before it is used.

use super::budget::{BudgetExhausted, HeldBytes};
use super::buffer::BodyBuffer;
use super::upload_body::Upload;
use crate::http_server::Request;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use std::time::Duration;

/// How long a body may take to come in.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a body was not received. Nothing was done for its request.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// It is longer than it may be.
    #[error("a body may hold at most {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// It didn't come in time, or stood still while others needed its room.
    #[error("the body took too long")]
    TooSlow,
    /// The connection failed, or what it carries is no body.
    #[error("the body can't be read: {0}")]
    Unreadable(String),
    /// There is no room for it.
    #[error(transparent)]
    NoRoom(#[from] BudgetExhausted),
}

/// A body that was received whole.
pub struct ReceivedBody {
    /// All of it.
    pub bytes: Vec<u8>,
    /// What the bytes hold of the budget, to be kept as long as they are.
    pub held: Option<HeldBytes>,
}

/// Receives the body of a request, up to `max_bytes` of it.
///
/// # Errors
/// [`ReceiveError`]; a body that states a greater length is refused before it is read.
pub async fn receive_body(
    request: Request,
    max_bytes: usize,
) -> Result<ReceivedBody, ReceiveError> {
    let receiving = receive(request, max_bytes);
    let received = tokio::time::timeout(BODY_TIMEOUT, receiving).await;
    let (bytes, held) = received.map_err(|_| ReceiveError::TooSlow)??.into_vec();
    Ok(ReceivedBody { bytes, held })
}

async fn receive(request: Request, max_bytes: usize) -> Result<BodyBuffer, ReceiveError> {
    let (head, mut body) = request.into_parts();
    let upload = head.extensions.get::<Upload>().cloned();
    let stated_bytes = body.size_hint().upper();
    let expected_bytes = stated_bytes.map_or(usize::MAX, |bytes| bytes as usize);
    let stated_at_least = body.size_hint().lower();
    if stated_at_least > max_bytes as u64 {
        return Err(ReceiveError::TooLong { max_bytes });
    }
    let mut buffer = BodyBuffer::new(upload, expected_bytes.min(max_bytes));
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(_) if buffer.is_upload_ended() => return Err(ReceiveError::TooSlow),
            Err(error) => return Err(ReceiveError::Unreadable(error.to_string())),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.bytes().len() + data.len() > max_bytes {
            return Err(ReceiveError::TooLong { max_bytes });
        }
        buffer.extend(&data).await?;
    }
    buffer.finish();
    Ok(buffer)
}
