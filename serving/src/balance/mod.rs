//! Load balancing: chooses an upstream for each request and refuses requests that can't be served
//! in time.

mod choice;
pub mod limit;
mod load;
pub mod locality;
pub mod pace;
mod replica;
mod request;
mod settings;
mod state;

pub use load::{Digest, Load, Loads, Stated};
pub use request::{Class, Criteria, Outcome, Pick, Refusal};
pub use settings::Settings;
pub use state::{Ejection, State};
