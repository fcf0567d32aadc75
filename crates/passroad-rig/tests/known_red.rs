//! The script that runs all tests but those that are known to fail, with a fake cargo.

use rstest::rstest;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// A fake cargo: tests with `red` in their name fail, `a::green` passes, and `twice` is the name of two tests. It handles
/// `--skip` like cargo and records its arguments.
const CARGO: &str = r#"#!/usr/bin/env bash
here=$(dirname "$0")
echo "$*" >>"$here/calls"
case "$*" in
"test --workspace --locked -- --list") printf 'a::red: test\na::green: test\nb::red: test\ntwice: test\ntwice: test\na::red_too: test\n' ;;
"test --workspace --locked --no-fail-fast -- --exact unbuilt::x") exit 101 ;;
"test --workspace --locked --no-fail-fast -- --exact "*red*) echo "test ${*: -1} ... FAILED"; exit 101 ;;
"test --workspace --locked --no-fail-fast -- --exact "*) echo "test ${*: -1} ... ok" ;;
*"--skip a::red"*) [[ ! -e "$here/more" ]] ;;
"test --workspace --locked") [[ ! -e "$here/more" ]] ;;
*) exit 101 ;;
esac
"#;

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "known-red-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, SeqCst)
        );
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).unwrap();
        let cargo = folder.0.join("cargo");
        std::fs::write(&cargo, CARGO).unwrap();
        std::fs::set_permissions(&cargo, std::fs::Permissions::from_mode(0o755)).unwrap();
        folder
    }

    fn run(&self, list: Option<&str>) -> Output {
        let path = self.0.join("KNOWN-RED.txt");
        if let Some(text) = list {
            std::fs::write(&path, text).unwrap();
        }
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
        Command::new(script)
            .arg(&path)
            .env("PASSROAD_CARGO", self.0.join("cargo"))
            .output()
            .unwrap()
    }

    fn calls(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.0.join("calls")).unwrap_or_default();
        text.lines().map(str::to_string).collect()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[rstest]
#[case(None)]
#[case(Some(""))]
#[case(Some("\n  \n"))]
fn without_a_list_all_tests_are_run(#[case] list: Option<&str>) {
    let folder = Folder::new();
    assert!(folder.run(list).status.success());
    assert_eq!(folder.calls(), ["test --workspace --locked"]);
    std::fs::write(folder.0.join("more"), "").unwrap();
    assert!(
        !folder.run(list).status.success(),
        "a test that fails and isn't listed"
    );
}

#[rstest]
fn listed_tests_must_fail_and_only_they_are_skipped() {
    let folder = Folder::new();
    let output = folder.run(Some(
        "a::red, a cause, with a comma, issue 12\nb::red, another, issue 13\n",
    ));
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{stdout}");
    assert!(
        stdout.contains("a::red, a cause, with a comma, issue 12"),
        "{stdout}"
    );
    let last = folder.calls().pop().unwrap();
    assert_eq!(
        last,
        "test --workspace --locked -- --exact --skip a::red --skip b::red"
    );
    std::fs::write(folder.0.join("more"), "").unwrap();
    assert!(
        !folder.run(None).status.success(),
        "another test that fails"
    );
}

#[rstest]
#[case("a::nobody, a cause, issue 12", "no test has this name")]
#[case("a::re, a cause, issue 12", "no test has this name")]
#[case("a::green, a cause, issue 12", "take it off the list")]
#[case("twice, a cause, issue 12", "2 tests have this name")]
#[case("a::red, a cause", "no line of test, cause, issue")]
#[case("a::red", "no line of test, cause, issue")]
#[case("a::red, , issue 12", "no line of test, cause, issue")]
#[case("a::red, a cause, ", "no line of test, cause, issue")]
#[case("a::red, a cause, issue 12\na::red, a cause, issue 12", "listed twice")]
#[case(
    "a::red, c, 1\nb::red, c, 2\na::red_too, c, 3\na::green, c, 4",
    "three are the most"
)]
fn an_invalid_list_fails(#[case] list: &str, #[case] expected: &str) {
    let folder = Folder::new();
    let output = folder.run(Some(list));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && error.contains(expected),
        "{error}"
    );
    assert!(
        !folder.calls().iter().any(|call| call.contains("--skip")),
        "{:?}",
        folder.calls()
    );
}

#[rstest]
fn a_failing_build_is_not_a_known_failure() {
    let folder = Folder::new();
    let cargo = CARGO.replace("a::red: test", "a::red: test\\nunbuilt::x: test");
    std::fs::write(folder.0.join("cargo"), cargo).unwrap();
    let output = folder.run(Some("unbuilt::x, a cause, issue 12"));
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && error.contains("did not fail as a test"),
        "{error}"
    );
}
