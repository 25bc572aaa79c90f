//! What happens in a workload.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// One line of a workload.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedAction {
    /// Milliseconds since the workload's beginning.
    pub at_ms: u64,
    /// What happens then.
    pub action: Action,
}

/// What happens at one moment.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A client sends a request.
    Request(RecordedRequest),
    /// An operator proposes a change, in the operator API's form without `id`.
    OperatorChange(OwnedValue),
    /// Something is done to machines; only in a fleet of the replay's own.
    Machine {
        /// What is done.
        operation: MachineOperation,
        /// A process or a zone, or one of `core`, `fronts`, `nodes`, `all`, `leader` and
        /// `killed`.
        name: String,
    },
}

/// What can be done to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineOperation {
    /// Ends the process at once.
    Kill,
    /// Starts it.
    Start,
    /// Stops all of its threads (`SIGSTOP`).
    Freeze,
    /// Lets them go on.
    Thaw,
    /// Asks it to stop (`SIGTERM`).
    Stop,
    /// Deletes a directory node's data, while that is down.
    Wipe,
    /// Partitions it from all others.
    Cut,
    /// Drops what it sends.
    CutOut,
    /// Drops what is sent to it.
    CutIn,
    /// Ends all partitions.
    Heal,
    /// Ends all partitions, thaws it, and starts it where it is down.
    Restore,
}

impl MachineOperation {
    /// All operations, in the order of error texts.
    pub const ALL: [MachineOperation; 11] = [
        MachineOperation::Kill,
        MachineOperation::Start,
        MachineOperation::Freeze,
        MachineOperation::Thaw,
        MachineOperation::Stop,
        MachineOperation::Wipe,
        MachineOperation::Cut,
        MachineOperation::CutOut,
        MachineOperation::CutIn,
        MachineOperation::Heal,
        MachineOperation::Restore,
    ];

    /// Its word in a workload.
    pub fn as_str(self) -> &'static str {
        match self {
            MachineOperation::Kill => "kill",
            MachineOperation::Start => "start",
            MachineOperation::Freeze => "freeze",
            MachineOperation::Thaw => "thaw",
            MachineOperation::Stop => "stop",
            MachineOperation::Wipe => "wipe",
            MachineOperation::Cut => "cut",
            MachineOperation::CutOut => "cut-out",
            MachineOperation::CutIn => "cut-in",
            MachineOperation::Heal => "heal",
            MachineOperation::Restore => "restore",
        }
    }
}

impl fmt::Display for MachineOperation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A word that is no machine operation.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{word} is none of {}", MachineOperation::ALL.map(MachineOperation::as_str).join(", "))]
pub struct UnknownOperation {
    /// The word.
    pub word: String,
}

impl FromStr for MachineOperation {
    type Err = UnknownOperation;

    fn from_str(text: &str) -> Result<MachineOperation, UnknownOperation> {
        let mut all = MachineOperation::ALL.into_iter();
        all.find(|operation| operation.as_str() == text)
            .ok_or_else(|| UnknownOperation {
                word: text.to_string(),
            })
    }
}

/// A client's request. `@tenant` in target, headers and body stands for the tenant's key.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedRequest {
    /// The client's zone.
    pub zone: String,
    /// The client's tenant.
    pub tenant: String,
    /// The service that the route leads to; for the journal alone.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers by name.
    pub headers: BTreeMap<String, String>,
    /// The body, an object.
    pub body: Option<OwnedValue>,
    /// The prompt that the body gets.
    pub prompt: Option<Prompt>,
    /// The request must not run twice.
    pub must_not_repeat: bool,
}

/// A prompt, by numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Prompt {
    /// Prompts of one number share their first [`SHARED_PREFIX_BYTES`].
    pub prefix: u64,
    /// The length of the whole prompt.
    pub length_bytes: u64,
}

/// How much prompts with the same prefix number have in common.
pub const SHARED_PREFIX_BYTES: usize = 256;

impl Prompt {
    /// The prompt's text. Beyond the shared prefix it depends on `salt`.
    fn text(&self, salt: u64) -> String {
        let length = self.length_bytes as usize;
        let mut text = String::new();
        while text.len() < length {
            let source = match text.len() < SHARED_PREFIX_BYTES {
                true => self.prefix,
                false => salt,
            };
            let word = source.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            text.push_str(&format!("{word:016x} "));
        }
        text.truncate(length);
        text
    }
}

impl RecordedRequest {
    /// The body as it is sent with a tenant's key. `salt` tells prompts apart that share
    /// their prefix.
    pub fn body_bytes(&self, key: &str, salt: u64) -> Vec<u8> {
        let Some(body) = &self.body else {
            return Vec::new();
        };
        let mut body = body.clone();
        if let Some(prompt) = self.prompt {
            body.insert("prompt", prompt.text(salt))
                .expect("a parsed request's body is an object");
        }
        body.encode().replace("@tenant", key).into_bytes()
    }
}
