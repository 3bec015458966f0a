//! Stand-ins for the platform, its servers and its clients, and the scenarios of the cases that are
//! scripts. `review-stage-2 SCENARIO FOLDER` writes `record.txt` into FOLDER and exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod client;
mod http;
mod json;
mod node;
mod record;
mod scenarios;
mod server;
mod store;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, folder] = &arguments[..] else {
        eprintln!("usage: review-stage-2 SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.line(&format!(
        "scenario {scenario}, disruption: {}",
        if has_trouble { "yes" } else { "no" }
    ));
    let temporary = std::env::temp_dir().join(format!("review-stage-2-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let running =
        std::panic::AssertUnwindSafe(|| scenarios::run(scenario, has_trouble, &record, &temporary));
    // Unwinding ends the processes that were started.
    let verdict = std::panic::catch_unwind(running)
        .unwrap_or_else(|_| Err(scenarios::Fail::CannotRun("the stage panicked".to_string())));
    let (code, text) = match &verdict {
        Ok(()) => (0, "held".to_string()),
        Err(scenarios::Fail::Broken(text)) => (1, format!("BROKEN: {text}")),
        Err(scenarios::Fail::CannotRun(text)) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{scenario}: {text}");
    let path = PathBuf::from(folder).join("record.txt");
    if let Err(error) = std::fs::write(&path, record.text()) {
        eprintln!("{}: {error}", path.display());
    }
    if std::env::var("STAGE_KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("kept: {}", temporary.display());
    }
    ExitCode::from(code)
}
