//! Settings of the rate limits of workspaces.

/// The upper bound that requests of a workspace must keep: over every sliding window, at most
/// `(rate x window + burst) x (1 + over) + slack` requests run, summed over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of the window in seconds.
    pub window_s: f64,
    /// Part of the nominal number by which it may be exceeded.
    pub over: f64,
    /// Requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { window_s: 5.0, over: 0.1, slack: 0.0 }
    }
}
