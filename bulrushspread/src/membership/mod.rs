//! Which VMs of the system are alive, which are leaving, and what each has in force.

pub mod message;
pub mod settings;

pub use settings::Settings;
