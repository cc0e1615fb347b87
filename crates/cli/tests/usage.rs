//! Tests invalid command lines and the help.

mod support;

use heatherknot_cli::exit::Exit;
use heatherknot_cli::{CommandOutput, run};
use support::{run_cli, unused_address};

fn run_without_env(args: &[&str]) -> CommandOutput {
    run(args.iter().map(Into::into).collect(), &Default::default())
}

/// Guards against an invalid command line that is run or reported without the reason.
#[test]
fn invalid_command_lines_name_what_was_expected_and_exit_with_2() {
    let cases: [(&[&str], &str); 12] = [
        (&[], "no command given"),
        (&["reboot"], "unknown command `reboot`"),
        (
            &["set", "defaults/queue_len"],
            "found 1 arguments, expected `set PATH VALUE`",
        ),
        (&["get", "--wait"], "`get` takes no option `--wait`"),
        (&["get", "--colour"], "unknown option `--colour`"),
        (&["get", "-x"], "unknown option `-x`"),
        (
            &["undo", "two"],
            "REVISION: found `two`, expected a whole number",
        ),
        (
            &["get", "--timeout", "0"],
            "--timeout: found `0`, expected 1 to 86400",
        ),
        (
            &["drain", "rack", "7"],
            "found `rack`, expected vm, server, place or region",
        ),
        (
            &["drain", "vm", "entry-1"],
            "found `entry-1`, expected DOMAIN/VM",
        ),
        (
            &["get", "--server", "example:1"],
            "--server: found `example:1`, expected an IP number",
        ),
        (&["new-key", "a", "--holder", "A"], "expected --secret-file"),
    ];
    for (args, expected) in cases {
        let output = run_cli(&[unused_address()], args);

        assert_eq!(output.exit, Exit::Usage, "{args:?}");
        assert!(
            output.stderr.contains(expected),
            "{args:?}: {}",
            output.stderr
        );
    }
}

/// Guards against running without a daemon or a key.
#[test]
fn a_daemon_and_a_key_must_be_named() {
    let no_server = run_without_env(&["status"]);
    let no_key = run_without_env(&["status", "--server", "127.0.0.1:1"]);

    assert!(no_server.exit == Exit::Usage && no_server.stderr.contains("HEATHERKNOT_SERVERS"));
    assert!(no_key.exit == Exit::Usage && no_key.stderr.contains("HEATHERKNOT_KEY_FILE"));
}

/// Guards against a command that is missing in the help, and against two forms of help that differ.
#[test]
fn help_lists_every_command_and_the_exit_codes() {
    let overview = run_without_env(&["--help"]);
    let of_wait = run_without_env(&["help", "wait"]);
    let same = run_without_env(&["wait", "--help"]);

    assert_eq!(overview.exit, Exit::Ok);
    for spec in &heatherknot_cli::command::COMMANDS {
        assert!(
            overview.stdout.contains(&format!("\n  {}", spec.name)),
            "{}",
            spec.name
        );
    }
    assert!(overview.stdout.contains("4 not known"));
    assert_eq!(of_wait, same);
    assert!(of_wait.stdout.contains("wait REVISION"));
}

/// The tables are indexed by discriminant. Guards against an entry out of order, with which a
/// command or an option would have the description of another.
#[test]
fn tables_are_in_the_order_of_their_enums() {
    for spec in &heatherknot_cli::command::COMMANDS {
        assert_eq!(spec.command.spec().name, spec.name);
    }
    for spec in &heatherknot_cli::options::OPTIONS {
        assert_eq!(spec.opt.spec().name, spec.name);
    }
}
