//! Load balancing: chooses an upstream for each request and refuses requests that can't be served
//! in time.

mod choice;
mod load;
mod replica;
mod request;
mod settings;
mod state;

pub use load::{Load, Loads, Tag};
pub use request::{Class, Outcome, Pick, Refusal, Want};
pub use settings::Settings;
pub use state::State;
