//! Drives the cases 11 to 15. Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't
//! run.

mod crashes;
mod engine;
mod http;
mod log;
mod node;
mod refused;
mod resumes;
mod rotation;
mod versions;

use std::{path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let [_, case, record, folder] = &arguments[..] else {
        eprintln!("usage: stage-3 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let (record, folder) = (Path::new(record), Path::new(folder));
    let result = match case.as_str() {
        "crashes" => crashes::run(record, folder, is_troubled),
        "rotation" => rotation::run(record, folder, is_troubled),
        "versions" => versions::run(record, folder, is_troubled),
        "resumes" => resumes::run(record, folder, is_troubled),
        "refused" => refused::run(record, folder, is_troubled),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
