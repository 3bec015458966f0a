//! Messages between nodes over QUIC with mutual TLS.

mod links;
pub mod message;
pub(crate) mod rotation;
pub mod settings;
pub mod traffic;
pub mod transport;

pub use message::Message;
pub use settings::Settings;
pub use transport::Transport;
