//! Refusals of the operator API, and their mapping to HTTP.

use crate::command_result::CommandError;
use simd_json::json;
use transport::http_server::{self, ReadJsonError, Response};
use transport::uploads::ReceiveError;

/// Why a request of an operator was refused.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    #[error("there is no {path} for this method")]
    NoSuchPage { path: String },
    /// A field of the query is missing or can't be read.
    #[error("{0}")]
    BadQuery(&'static str),
    /// The body was not received, or is not JSON.
    #[error(transparent)]
    BadJson(#[from] ReadJsonError),
    /// The body is no proposal; the text names the field.
    #[error("{0}")]
    BadProposal(String),
    #[error("no majority confirms what is newest")]
    NoMajority,
    /// The state has no mapping for the tenant and the service.
    #[error("{text}")]
    NoMapping { code: &'static str, text: String },
    #[error("{0}")]
    NotBootstrapped(String),
    #[error("founded, and not leading yet; ask for the status")]
    NotLeadingYet,
    /// A command of this id is not known to be applied.
    #[error("{}", command_text(error, id))]
    Command { error: CommandError, id: String },
    /// A change of the membership is not known to be committed.
    #[error("{}", membership_text(error))]
    MembershipChange { error: CommandError },
}

impl ApiError {
    /// The status code of the response.
    fn status(&self) -> u16 {
        match self {
            ApiError::BadJson(ReadJsonError::Receive(error)) => receive_status(error),
            ApiError::BadQuery(_) | ApiError::BadJson(_) | ApiError::BadProposal(_) => 400,
            ApiError::NoSuchPage { .. } | ApiError::NoMapping { .. } => 404,
            ApiError::NotBootstrapped(_) => 409,
            ApiError::NoMajority | ApiError::NotLeadingYet => 503,
            ApiError::Command { error, .. } | ApiError::MembershipChange { error } => match error {
                CommandError::Conflict { .. } => 409,
                CommandError::InvalidMembershipChange { .. } => 409,
                CommandError::Rejected { .. } => 422,
                CommandError::OutcomeUnknown | CommandError::NoLeader | CommandError::Busy => 503,
            },
        }
    }

    /// The field `code` of the response.
    fn code(&self) -> &'static str {
        match self {
            ApiError::NoSuchPage { .. } => "no-such-page",
            ApiError::BadQuery(_) => "bad-question",
            ApiError::BadJson(_) => "bad-json",
            ApiError::BadProposal(_) => "bad-proposal",
            ApiError::NoMajority => "no-majority",
            ApiError::NoMapping { code, .. } => code,
            ApiError::NotBootstrapped(_) => "founded-already",
            ApiError::NotLeadingYet => "not-yet",
            ApiError::Command { error, .. } | ApiError::MembershipChange { error } => match error {
                CommandError::Conflict { .. } => "conflict",
                CommandError::InvalidMembershipChange { .. } => "unfit",
                CommandError::Rejected { .. } => "refused",
                CommandError::OutcomeUnknown => "unknown",
                CommandError::NoLeader | CommandError::Busy => "no-leader",
            },
        }
    }

    /// The refusal as a response.
    pub(super) fn response(&self) -> Response {
        let body = json!({ "code": self.code(), "text": self.to_string() });
        http_server::json(self.status(), &body)
    }
}

/// A failed command, and what its sender can do.
fn command_text(error: &CommandError, id: &str) -> String {
    match error {
        CommandError::OutcomeUnknown | CommandError::NoLeader | CommandError::Busy => {
            format!("{error}; submit again with the same id {id}")
        }
        error => error.to_string(),
    }
}

/// A failed change of the membership, and what its sender can do.
fn membership_text(error: &CommandError) -> String {
    match error {
        CommandError::OutcomeUnknown => format!("{error}; look at the members"),
        CommandError::NoLeader | CommandError::Busy => {
            "no leader can be reached; nothing was changed".into()
        }
        error => error.to_string(),
    }
}

fn receive_status(error: &ReceiveError) -> u16 {
    match error {
        ReceiveError::TooLong { .. } => 413,
        ReceiveError::TooSlow => 408,
        ReceiveError::NoRoom(_) => 503,
        ReceiveError::Unreadable(_) => 400,
    }
}
