//! Command line of `citronhollow-agent`: exit codes and output of the calls that operators make.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_citronhollow-agent"));
    command.args(args).output().expect("the program runs")
}

/// Each case gives the arguments, the exit code, and a text that standard output and standard error
/// contain.
macro_rules! calls {
    ($($name:ident: $args:expr => $code:literal, out $out:literal, err $err:literal;)*) => {
        $(#[test] fn $name() {
            let output = run(&$args);
            let out = str::from_utf8(&output.stdout).expect("text");
            let err = str::from_utf8(&output.stderr).expect("text");
            assert_eq!(output.status.code(), Some($code), "{out}{err}");
            assert!(out.contains($out), "{out}");
            assert!(err.contains($err), "{err}");
        })*
    };
}

const EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/settings/agent.json"
);

const BALANCER_EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/settings/balancer.json"
);

calls! {
    help: ["--help"] => 0, out "--check-settings", err "";
    no_argument_prints_help: [] => 0, out "Exit codes:", err "";
    version: ["--version"] => 0, out "citronhollow-agent 0.", err "";
    unknown_option: ["--loud"] => 2, out "", err "--loud";
    example_settings_pass_the_check: ["-s", EXAMPLE, "--check-settings"]
        => 0, out "valid", err "";
    settings_of_a_balancer_are_refused: ["-s", BALANCER_EXAMPLE]
        => 2, out "", err "operator_token: unknown field";
    errors_as_json: ["-s", BALANCER_EXAMPLE, "--json"]
        => 2, out "", err "\"field\": \"traffic_listen\"";
}
