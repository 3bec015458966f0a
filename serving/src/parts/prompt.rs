//! The parts of a prompt, by which requests that are not alike can be compared.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::Workspace;

pub type Result<T> = std::result::Result<T, ParseError>;

/// Maximum number of parts of one prompt that are looked at.
const MAX_PARTS: usize = 32;
/// Number of hexadecimal digits that fit into a [`Part`].
const PART_DIGITS: usize = 16;

/// Error: the id of a part isn't a hexadecimal number.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the part id {0:?} isn't a hexadecimal number")]
pub struct ParseError(pub String);

/// Id of a part of prompts: a hexadecimal number, or the hash of a number with more than 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(pub u64);

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Part {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Part> {
        let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_number {
            return Err(ParseError(text.to_string()));
        }
        let digits = text.trim_start_matches('0').to_ascii_lowercase();
        match digits.len() {
            0 => Ok(Part(0)),
            1..=PART_DIGITS => {
                u64::from_str_radix(&digits, 16).map(Part).map_err(|_| ParseError(text.to_string()))
            }
            _ => Ok(Part(xxh3_64(digits.as_bytes()))),
        }
    }
}

impl Part {
    /// Uses a cryptographic hash: a caller must not find an id that matches one of another workspace.
    fn scoped(self, workspace: &Workspace) -> Part {
        let mut hash = Sha256::new();
        hash.update(workspace.0.as_bytes());
        hash.update([0]);
        hash.update(self.0.to_be_bytes());
        let digest: [u8; 32] = hash.finalize().into();
        let [a, b, c, d, e, f, g, h, ..] = digest;
        Part(u64::from_be_bytes([a, b, c, d, e, f, g, h]))
    }
}

/// The parts of one prompt that other requests may share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// In the order of the prompt, without duplicates. Doesn't contain the last part of the prompt,
    /// which belongs to the request or its session alone.
    shared: Vec<Part>,
}

impl Prompt {
    /// Keeps the first 32 parts; further ones are ignored.
    pub fn new(shared: impl IntoIterator<Item = Part>) -> Prompt {
        let mut kept = Vec::new();
        for part in shared.into_iter().take(MAX_PARTS) {
            if !kept.contains(&part) {
                kept.push(part);
            }
        }
        Prompt { shared: kept }
    }

    /// The prompt with parts of the workspace alone, because callers choose the ids: a workspace must
    /// not get parts of another one blocked. Unchanged without a workspace.
    pub fn scoped(self, workspace: Option<&Workspace>) -> Prompt {
        let Some(workspace) = workspace else { return self };
        Prompt { shared: self.shared.into_iter().map(|part| part.scoped(workspace)).collect() }
    }

    pub fn shared(&self) -> &[Part] {
        &self.shared
    }
}

/// The shared parts, separated by commas.
impl fmt::Display for Prompt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.shared.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
