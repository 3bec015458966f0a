//! Takes over new keys without a restart.

use std::{fs, sync::Arc, time::Duration, time::SystemTime};

use super::{Settings, Transport};

/// Time between two looks at the key files.
const PERIOD: Duration = Duration::from_secs(2);

/// Reads the key files again whenever one of them has changed.
///
/// Files that can't be used leave the old keys in force until they change again or can be read.
pub(crate) async fn follow(settings: Settings, transport: Arc<Transport>) {
    let mut loaded = stamps(&settings);
    let mut refused = None;
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = stamps(&settings);
        if now == loaded {
            continue;
        }
        match transport.reload_keys(&settings) {
            Ok(()) => {
                log::info!("peer: new keys are in use");
                loaded = now;
                refused = None;
            }
            Err(error) if refused.as_ref() != Some(&now) => {
                log::warn!("peer: the new keys can't be used, the old ones stay: {error:#}");
                refused = Some(now);
            }
            Err(_) => {}
        }
    }
}

/// When each key file was last written.
fn stamps(settings: &Settings) -> [Option<SystemTime>; 3] {
    [&settings.certificate, &settings.key, &settings.authorities]
        .map(|path| fs::metadata(path).and_then(|file| file.modified()).ok())
}
