//! Which workspace a request belongs to, by the key that its caller presents.
//!
//! * `directory` holds the keys of one version of the configuration.
//! * `lease` decides how long these keys may be used without a confirmation by the log.
//! * `guard` decides whether a request may run.
//! * `token` lets nodes recognise each other's requests.

mod directory;
mod guard;
pub mod lease;
mod token;

pub use directory::{Directory, KeyDigest, Member, Workspaces};
pub use guard::{Caller, Denial, Guard, Presented, RETRY_AFTER};
pub(crate) use token::TOKEN;
