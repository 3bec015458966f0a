//! The parts of prompts that requests share, and which of them crash upstreams.

mod prompt;

pub use prompt::{ParseError, Part, Prompt, Result};
