//! The text of generated tokens, a pure function of the prompt and the index, and the markers
//! in a prompt that steer a generation:
//!
//! * `<id:NAME>`: tokens carry NAME, and counts are kept under it.
//! * `<tokens:N>`: the generation stops after N tokens.
//! * `<endless>`: the generation never ends by itself.
//! * `<break:N>`: the connection breaks before token N, unless the stream starts there.
//! * `<fail>`: the engine answers 500.
//! * `<crash>`: the engine's process exits once the request runs.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The name under which a prompt is counted: its `<id:NAME>` or a digest of it.
pub fn name(prompt: &str) -> String {
    match value(prompt, "id") {
        Some(name) => name.to_string(),
        None => format!("{:016x}", digest(prompt.as_bytes())),
    }
}

/// The token at `index` of the generation for the prompt of this name.
pub fn token(name: &str, index: u32) -> String {
    format!("{name}.{index} ")
}

/// The whole text of a generation.
pub fn whole(name: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(name, index)).collect()
}

/// The value of the marker `<key:value>`.
pub fn value<'a>(prompt: &'a str, key: &str) -> Option<&'a str> {
    let opening = format!("<{key}:");
    let start = prompt.find(&opening)? + opening.len();
    let length = prompt[start..].find('>')?;
    Some(&prompt[start..start + length])
}

/// Whether the prompt has the marker `<key>`.
pub fn has(prompt: &str, key: &str) -> bool {
    prompt.contains(&format!("<{key}>"))
}

/// Tokens of a text.
pub fn count_tokens(text: &str) -> u32 {
    tokens_of(text.len())
}

pub(crate) fn tokens_of(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u32
}

pub(crate) fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
