//! Which workspace a request belongs to, by the key that its caller presents.
//!
//! * `directory` holds the keys of one version of the configuration.

mod directory;

pub use directory::{Directory, Member, Workspaces};
