//! What is wrong with something that people write: settings files and pieces of the document.

use std::fmt;

/// Hexadecimal digits of a SHA-256 digest.
pub(crate) const DIGEST_DIGITS: usize = 64;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the key, such as `peer.listen` or `workspaces.depot.concurrency`.
    pub path: String,
    /// What is wrong and what would be valid.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Whether the text is a SHA-256 digest in hexadecimal.
pub(crate) fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.chars().all(|digit| digit.is_ascii_hexdigit())
}
