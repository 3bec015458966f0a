//! The parts of prompts that requests share, and which of them crash upstreams.
//!
//! A part may crash each upstream that begins an answer to a prompt with it. Its requests come at
//! any node and are not alike, so all nodes compare, by part, which processes crashed under a
//! request with the part, and which of these requests were answered; see [`State`].

mod message;
mod prompt;
mod state;

pub use message::{Crash, Evidence, Report, SoftwareDigest};
pub use prompt::{ParseError, Part, Prompt, Result};
pub use state::{Attempt, Change, Revision, State};
