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
        "config check",
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
    // Holds the port without listening, so that no other process gets it meanwhile.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a free port");
    let address = socket.local_addr().expect("an address").to_string();
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

/// The exit codes of the check, on which deployments decide whether to send the file.
#[test]
fn check_of_a_configuration_tells_clean_faulty_and_unreadable_files_apart() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = |name: &str, text: &str| {
        let path = directory.path().join(name);
        fs::write(&path, text).expect("the file is written");
        path.display().to_string()
    };
    let clean = file("clean.json", r#"{"version": 1}"#);
    let next = file("next.json", r#"{"version": 2}"#);
    let doubtful = file("doubtful.json", r#"{"version": 2, "tenants": [{"name": "green"}]}"#);
    let faulty = file("faulty.json", r#"{"version": "one"}"#);
    let broken = file("broken.json", "{");
    let code = |arguments: &[&str]| run(&[&["config", "check"], arguments].concat()).code;
    assert_eq!(code(&[&clean]), Some(0));
    assert_eq!(code(&["--against", &clean, &next]), Some(0));
    assert_eq!(code(&["--against", &next, &clean]), Some(1), "nodes ignore a lower version");
    assert_eq!(code(&[&doubtful]), Some(0));
    assert_eq!(code(&["--strict", &doubtful]), Some(1));
    assert_eq!(code(&[&faulty]), Some(1));
    assert_eq!(code(&[&broken]), Some(2));
    assert_eq!(code(&["missing.json"]), Some(2));
    let json = run(&["--json", "config", "check", &doubtful]).stdout;
    assert!(json.starts_with(r#"{"findings":[{"severity":"warning""#), "{json}");
}
