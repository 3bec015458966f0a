//! Which VMs of the system are alive, which are leaving, and which upstreams there are.

pub mod links;
pub mod message;
pub mod settings;
pub(crate) mod task;
pub mod view;

pub use settings::Settings;
pub use view::{Handle, View};
