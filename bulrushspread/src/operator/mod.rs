//! The operators' HTTP listener.
//!
//! * `api` holds the endpoints and `view` what they say.
//! * `token` tells operators from others.
//! * `refusal` is the body of every answer that is not a success.

pub(crate) mod api;
pub mod handle;
pub mod refusal;
pub mod settings;
pub(crate) mod task;
pub(crate) mod token;
pub mod view;

pub use api::openapi;
pub use handle::Handle;
pub use settings::Settings;
