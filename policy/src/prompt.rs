//! What a request's head says of its prompt: the parts that it is made of, and its size.

use crate::extract::read_prompt_source;
use crate::hash::stable_hash;
use crate::program::{Program, RequestHead, Route};

/// The most parts that are looked at.
const MAX_PARTS: usize = 64;

/// One part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptPart {
    /// A hash of this part and all before it: an engine whose prefix cache holds this part
    /// holds those, too.
    pub prefix_hash: u64,
    /// The part's tokens.
    pub tokens: u32,
}

/// A prompt as its request states it. Invariant: `parts` are in the prompt's order; the last
/// one belongs to the request or its session alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// The parts; empty where none are stated.
    pub parts: Vec<PromptPart>,
    /// The tokens of the whole prompt.
    pub input_tokens: u32,
    /// The most tokens of the response; 0 where it is not stated.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// A hash of all parts but the last, which requests of one kind share; 0 where no parts
    /// are stated.
    pub fn shared_prefix_hash(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1).max(1);
        self.parts
            .get(shared - 1)
            .map_or(0, |part| part.prefix_hash)
    }
}

/// Parses `ID:TOKENS,ID:TOKENS`. An item that does not parse ends the list.
fn parse_parts(text: &str) -> Vec<PromptPart> {
    // Fibonacci hashing: spreads ids that differ little.
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut parts: Vec<PromptPart> = Vec::new();
    let mut prefix_hash = 0;
    for item in text.split(',').take(MAX_PARTS) {
        let Some((id, tokens)) = item.trim().split_once(':') else {
            break;
        };
        let Ok(tokens) = tokens.trim().parse() else {
            break;
        };
        let id = u64::from_str_radix(id, 16).unwrap_or_else(|_| stable_hash(id.as_bytes()));
        // Never 0, which stands for no parts.
        prefix_hash = (prefix_hash ^ id)
            .wrapping_mul(GOLDEN_RATIO)
            .rotate_left(29)
            | 1;
        parts.push(PromptPart {
            prefix_hash,
            tokens,
        });
    }
    parts
}

/// Parses `IN,OUT`; a count that does not parse is 0.
fn parse_size(text: &str) -> Option<(u32, u32)> {
    let (input, output) = text.split_once(',')?;
    let count = |text: &str| text.trim().parse().unwrap_or(0);
    Some((count(input), count(output)))
}

impl Program {
    /// What the head of a request on `route` says of its prompt. Without a stated size the
    /// prompt has the tokens of its parts.
    pub fn prompt(&self, route: &Route, head: &RequestHead) -> Prompt {
        let read = |source| read_prompt_source(source, head);
        let parts = route.prompt_parts.as_ref().and_then(read);
        let parts = parts.map_or(Vec::new(), |text| parse_parts(&text));
        let size = route.prompt_size.as_ref().and_then(read);
        let size = size.as_deref().and_then(parse_size);
        let (input_tokens, max_output_tokens) = size.unwrap_or_else(|| {
            let add = |sum: u32, part: &PromptPart| sum.saturating_add(part.tokens);
            (parts.iter().fold(0, add), 0)
        });
        Prompt {
            parts,
            input_tokens,
            max_output_tokens,
        }
    }
}
