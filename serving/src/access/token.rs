//! The token by which nodes with the same keys recognise each other.

use std::{collections::VecDeque, fmt};

use http::{HeaderMap, HeaderName, HeaderValue};
use sha2::{Digest as _, Sha256};

use super::directory::KeyDigest;

/// Carries the tokens of the sender, separated by spaces, in requests between nodes.
pub(crate) const TOKEN: HeaderName = HeaderName::from_static("peer-token");
/// Separates the digest from those of other uses of the keys.
const CONTEXT: &[u8] = b"peer token";
/// Number of sets of keys whose tokens are accepted, because nodes change at different moments.
const MAX_ACCEPTED: usize = 4;
/// Number of tokens that a request states: a node whose configuration is older by one accepts it.
const STATED: usize = 2;

/// Digest of all keys of a configuration. Only who knows all of them can derive it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Token([u8; 32]);

impl fmt::Debug for Token {
    /// Hides the token.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

impl Token {
    /// `None` without keys: anybody could derive that token.
    pub(super) fn of<'a>(keys: impl Iterator<Item = &'a KeyDigest>) -> Option<Token> {
        let mut keys = keys.peekable();
        keys.peek()?;
        let mut hash = Sha256::new();
        hash.update(CONTEXT);
        keys.for_each(|key| hash.update(key.bytes()));
        Some(Token(hash.finalize().into()))
    }

    fn encode(self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Takes the same time wherever the texts differ.
    fn is(self, text: &[u8]) -> bool {
        let own = self.encode();
        let differs = own.bytes().zip(text).fold(0, |differs, (a, b)| differs | (a ^ b));
        own.len() == text.len() && differs == 0
    }
}

/// The tokens of the latest configurations.
#[derive(Clone, Debug, Default)]
pub(super) struct Tokens {
    /// The latest first. At most `MAX_ACCEPTED`.
    known: VecDeque<Token>,
    /// Whether the configuration in force has workspaces.
    is_required: bool,
}

impl Tokens {
    /// Applies the keys of a new configuration; `None` if it has no workspaces.
    pub(super) fn update<'a>(&mut self, keys: Option<impl Iterator<Item = &'a KeyDigest>>) {
        self.is_required = keys.is_some();
        let Some(token) = keys.and_then(Token::of) else { return };
        self.known.retain(|known| *known != token);
        self.known.push_front(token);
        self.known.truncate(MAX_ACCEPTED);
    }

    /// Adds the latest tokens to a request to another node, which may not know the last one yet.
    pub(super) fn sign(&self, headers: &mut HeaderMap) {
        if !self.is_required || self.known.is_empty() {
            return;
        }
        let stated = self.known.iter().take(STATED).map(|token| token.encode());
        let stated = stated.collect::<Vec<_>>().join(" ");
        if let Ok(value) = HeaderValue::from_str(&stated) {
            headers.insert(TOKEN, value);
        }
    }

    /// Whether a request comes from a node with the same keys, if that is required.
    pub(super) fn accepts(&self, headers: &HeaderMap) -> bool {
        let Some(stated) = headers.get(TOKEN) else { return !self.is_required };
        let mut stated = stated.as_bytes().split(|byte| *byte == b' ');
        let is_known = |text: &[u8]| self.known.iter().any(|token| token.is(text));
        !self.is_required || stated.by_ref().take(STATED).any(is_known)
    }
}
