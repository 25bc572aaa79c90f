//! Requests to the operator API, at one directory node after the other.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use transport::http_client;

/// How long one directory node has for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The node can't answer now: the next one is asked.
const UNAVAILABLE: u16 = 503;

/// Why there is no response to use. Of several nodes that were asked, the last one's.
#[derive(Debug, Error)]
pub enum ApiError {
    /// No address is known.
    #[error("no operator API is named; use --operator-api or RUSHPORT_OPERATOR_API")]
    NoAddress,
    /// The node was not reached, or broke off. Whether it acted is not known: a retry is
    /// safe with the same proposal id.
    #[error(transparent)]
    Unreachable(Box<dyn std::error::Error + Send + Sync>),
    /// What listens there is no operator API.
    #[error("{address} answered {status} and no JSON: {reason}")]
    NotJson {
        /// The address that was asked.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// What the parser says.
        reason: String,
    },
    /// The node refused the request. With status 503 a retry is safe with the same
    /// proposal id; with any other the request is wrong.
    #[error("{code} ({status}): {text}")]
    Refused {
        /// The API's code.
        code: String,
        /// The HTTP status.
        status: u16,
        /// The reason, for people.
        text: String,
    },
}

/// The operator APIs of one cluster.
pub struct OperatorApi {
    addresses: Vec<SocketAddr>,
}

impl OperatorApi {
    /// The APIs at these addresses, asked in this order.
    pub fn new(addresses: Vec<SocketAddr>) -> OperatorApi {
        OperatorApi { addresses }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub async fn get(&self, target: &str) -> Result<OwnedValue, ApiError> {
        self.send("GET", target, "").await
    }

    /// Sends a POST request.
    ///
    /// # Errors
    /// As [`Self::send`].
    pub async fn post(&self, target: &str, body: &str) -> Result<OwnedValue, ApiError> {
        self.send("POST", target, body).await
    }

    /// Asks node after node until one can be reached and does not answer 503. That is
    /// safe since a node knows a proposal that it has applied by its id.
    ///
    /// # Errors
    /// The last node's error.
    async fn send(&self, method: &str, target: &str, body: &str) -> Result<OwnedValue, ApiError> {
        let mut last = ApiError::NoAddress;
        for address in &self.addresses {
            match send_to(*address, method, target, body).await {
                Err(error) if is_next_asked(&error) => last = error,
                result => return result,
            }
        }
        Err(last)
    }
}

fn is_next_asked(error: &ApiError) -> bool {
    match error {
        ApiError::Refused { status, .. } => *status == UNAVAILABLE,
        ApiError::Unreachable(_) => true,
        ApiError::NoAddress | ApiError::NotJson { .. } => false,
    }
}

async fn send_to(
    address: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
) -> Result<OwnedValue, ApiError> {
    let headers = [("content-type", "application/json")];
    let body = body.as_bytes().to_vec();
    let response =
        http_client::send_request(address, method, target, &headers, body, RESPONSE_TIMEOUT);
    let (status, bytes) = response
        .await
        .map_err(|error| ApiError::Unreachable(error.into()))?;
    let text = String::from_utf8_lossy(&bytes);
    let value = residency::parse_json(&text).map_err(|error| ApiError::NotJson {
        address,
        status,
        reason: error.to_string(),
    })?;
    if status == 200 {
        return Ok(value);
    }
    let field = |name: &str| {
        let field = value.get(name).and_then(|field| field.as_str());
        field.unwrap_or("").to_string()
    };
    Err(ApiError::Refused {
        code: field("code"),
        status,
        text: field("text"),
    })
}
