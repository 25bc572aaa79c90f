//! What a job says of its prompt: the parts that it is made of, and its size.

use crate::extract::{read_cheap, stable_hash};
use crate::{Program, RequestHead, Route};

/// The most parts that are looked at.
const MOST: usize = 64;

/// One part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptPart {
    /// A number for this part and all before it: an engine that keeps this part
    /// keeps those, too.
    pub prefix_hash: u64,
    pub tokens: u32,
}

/// Invariant: `parts` are in the prompt's order; the last one belongs to the job
/// or its session alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    pub parts: Vec<PromptPart>,
    pub input_tokens: u32,
    pub max_output_tokens: u32,
}

impl Prompt {
    /// What jobs that share most of their prompt have in common; 0 where
    /// nothing is known.
    pub fn shared_prefix_hash(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts
            .get(shared - 1)
            .map_or(0, |part| part.prefix_hash)
    }
}

/// Reads `ID:TOKENS,ID:TOKENS`. What can't be read ends the list.
fn parts(text: &str) -> Vec<PromptPart> {
    let mut parts: Vec<PromptPart> = Vec::new();
    let mut before = 0;
    for item in text.split(',').take(MOST) {
        let Some((id, tokens)) = item.trim().split_once(':') else {
            break;
        };
        let Ok(tokens) = tokens.trim().parse() else {
            break;
        };
        let id = u64::from_str_radix(id, 16).unwrap_or_else(|_| stable_hash(id.as_bytes()));
        before = (before ^ id)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29)
            | 1;
        parts.push(PromptPart {
            prefix_hash: before,
            tokens,
        });
    }
    parts
}

impl Program {
    /// What the head of a job on `route` says of its prompt.
    pub fn prompt(&self, route: &Route, head: &RequestHead) -> Prompt {
        let listed = route
            .prompt_parts
            .as_ref()
            .and_then(|source| read_cheap(source, head));
        let parts = listed.map_or(Vec::new(), |text| parts(&text));
        let size = route
            .prompt_size
            .as_ref()
            .and_then(|source| read_cheap(source, head));
        let size = size.as_deref().and_then(|text| text.split_once(','));
        let number = |text: &str| text.trim().parse().unwrap_or(0);
        let all: u32 = parts
            .iter()
            .fold(0, |sum, part| sum.saturating_add(part.tokens));
        let (input_tokens, max_output_tokens) =
            size.map_or((all, 0), |(i, o)| (number(i), number(o)));
        Prompt {
            parts,
            input_tokens,
            max_output_tokens,
        }
    }
}
