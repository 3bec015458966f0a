//! Help, exit codes and messages of the command-line tool.

use std::{fs, process::Command};

use bulrushctl::Failure;

struct Run {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

fn run(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushctl"));
    for name in ["SERVER", "TOKEN", "GATEWAY", "KEY"] {
        command.env_remove(format!("BULRUSHCTL_{name}"));
    }
    let output = command.args(arguments).output().expect("the tool starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8");
    Run { code: output.status.code(), stdout: text(output.stdout), stderr: text(output.stderr) }
}

/// The message and the exit code of a command that fails.
fn failure(arguments: &[&str]) -> String {
    let run = run(arguments);
    assert_eq!(run.stdout, "", "failures say nothing on stdout");
    format!("exit {}\n{}", run.code.unwrap_or(-1), run.stderr)
}

#[test]
fn help_of_every_command() {
    let commands = [
        "",
        "config",
        "config get",
        "config apply",
        "config diff",
        "config promote",
        "config history",
        "members",
        "upstreams",
        "health",
        "file upload",
        "job",
        "job submit",
        "job get",
        "job list",
        "job cancel",
        "job watch",
        "job results",
    ];
    let mut text = String::new();
    for command in commands {
        let arguments: Vec<&str> = command.split_whitespace().chain(["--help"]).collect();
        let run = run(&arguments);
        assert_eq!(run.code, Some(0), "{command}");
        text += &format!("$ bulrushctl {command}\n{}\n", run.stdout);
    }
    insta::assert_snapshot!(text);
}

#[test]
fn wrong_usage_is_explained() {
    let lines = [
        failure(&["config", "apply", "--environment", "trial"]),
        failure(&["jobs"]),
        failure(&["--server", "localhost", "members"]),
        failure(&["members"]),
        failure(&["--server", "127.0.0.1:9", "config", "apply", "--environment", "trial"]),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_piece_with_faults_is_not_sent() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("piece.json");
    fs::write(&file, r#"{"deployments": {"svetovalec": {"models": []}}}"#).expect("written");
    let place = ["--environment", "trial", "--team", "depot"];
    let arguments = [&["config", "apply"], &place[..], &[file.to_str().expect("UTF-8")]].concat();
    let text = failure(&arguments).replace(directory.path().to_str().expect("UTF-8"), "DIR");
    insta::assert_snapshot!(text);
}

#[test]
fn a_node_that_does_not_listen_is_named() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let text = failure(&["--server", &address, "health"]).replace(&address, "ADDRESS");
    insta::assert_snapshot!(text);
}

#[test]
fn answers_become_messages_and_exit_codes() {
    let answers = [
        (409, r#"{"error": {"code": "conflict", "message": "version 3 by \"ana\" came first"}}"#),
        (
            403,
            r#"{"error": {"code": "forbidden", "message": "not an operator's token"}, "not_run": true}"#,
        ),
        (
            503,
            r#"{"error": {"code": "unconfirmed", "message": "no answer", "retryable": true}, "not_run": false}"#,
        ),
        (500, "not JSON"),
    ];
    let lines = answers.map(|(status, body)| {
        let failure = Failure::of_answer(status, body.as_bytes());
        format!("{}: {failure}", failure.exit_code())
    });
    insta::assert_snapshot!(lines.join("\n"));
}
