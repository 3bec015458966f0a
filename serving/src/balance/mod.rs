//! Chooses the upstream of a request, and refuses what can't be served in time.

mod replica;
mod settings;
mod state;

pub use settings::Settings;
pub use state::{Class, Load, Loads, Outcome, Pick, Refusal, State, Tag, Want};
