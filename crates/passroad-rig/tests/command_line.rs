//! The program from its command line: its output, its exit code, and that it leaves no process behind.

use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

const SMALL: &str = r#"
about = "small"
length = "3s"
instances = 2
policies = ["passroad", "random"]
[fleet.kind.plain]
cores = 2
[[fleet.group]]
kind = "plain"
count = 2
[[verb]]
name = "look"
effect = "pure"
work = "5ms"
goal = "200ms"
limit = "500ms"
[load]
per_second = 50
"#;

/// A temporary folder with one experiment, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn with(experiment: &str) -> Folder {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "rig-cli-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, SeqCst)
        );
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).unwrap();
        std::fs::write(folder.at("e.toml"), experiment).unwrap();
        folder
    }

    fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn rig(arguments: &[&str], paths: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_passroad-rig"))
        .args(arguments)
        .args(paths)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
#[case::holds("[[hold]]\nmetric = \"served\"\nat_least = 0.9\n", 0, "holds: served")]
#[case::does_not_hold(
    "[[hold]]\nmetric = \"served\"\nat_most = 0.1\n",
    1,
    "DOES NOT HOLD: served"
)]
fn expectations_decide_the_exit_code(
    #[case] expectation: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let folder = Folder::with(&format!("{SMALL}{expectation}"));
    let output = rig(&["run"], &[&folder.at("e.toml")]);
    assert_eq!(
        (
            output.status.code(),
            text(&output.stdout).contains(expected)
        ),
        (Some(code), true)
    );
}

#[rstest]
#[case::unknown_key(&format!("{SMALL}speed = 1\n"), &["run"], "line 19: speed: unknown field")]
#[case::seeds(SMALL, &["run", "--seeds", "x"], "'x' is no seed")]
#[case::policy(SMALL, &["run", "--policies", "best"], "unknown 'best'")]
#[case::no_sidecar(SMALL, &["run", "--on", "sockets", "--sidecar", "/nowhere"], "--sidecar /nowhere")]
#[case::full_disk(SMALL, &["run", "--json", "/dev/full/x"], "/dev/full")]
#[case::virtually(&format!("sockets = \"needed\"\n{SMALL}"), &["run", "--on", "virtual"], "needs sockets")]
fn bad_input_is_reported_and_exits_with_2(
    #[case] file: &str,
    #[case] arguments: &[&str],
    #[case] expected: &str,
) {
    let folder = Folder::with(file);
    let output = rig(arguments, &[&folder.at("e.toml")]);
    let error = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(error.contains(expected), "{error}");
}

// A program that ends at once is not a sidecar; its last output is part of the error.
#[rstest]
fn a_sidecar_that_does_not_come_up_is_named() {
    let folder = Folder::with(SMALL);
    let output = rig(
        &["run", "--on", "sockets", "--sidecar", "/bin/false"],
        &[&folder.at("e.toml")],
    );
    let error = text(&output.stderr);
    assert_eq!(
        (output.status.code(), error.lines().count()),
        (Some(2), 1),
        "{error}"
    );
    assert!(
        error.contains("sidecar 0 ended: its log is empty"),
        "{error}"
    );
}

#[rstest]
fn one_thread_and_eight_give_the_same_report() {
    let folder = Folder::with(SMALL);
    let report = |threads: &str| {
        let arguments = [
            "run",
            "--seeds",
            "1..4",
            "--threads",
            threads,
            "--json",
            "-",
        ];
        rig(&arguments, &[&folder.at("e.toml")]).stdout
    };
    let (one, eight) = (report("1"), report("8"));
    assert!(one.len() > 1000);
    assert_eq!(one, eight);
}

#[rstest]
fn two_reports_are_compared_and_other_files_refused() {
    let folder = Folder::with(SMALL);
    let (a, b) = (folder.at("a.json"), folder.at("b.json"));
    for path in [&a, &b] {
        let at = path.to_str().unwrap();
        assert!(
            rig(
                &["run", "--seeds", "1..3", "--json", at],
                &[&folder.at("e.toml")]
            )
            .status
            .success()
        );
    }
    let output = rig(&["compare"], &[&a, &b]);
    assert!(output.status.success() && text(&output.stdout).contains("the same"));
    assert_eq!(
        rig(&["compare"], &[&a, &folder.at("e.toml")]).status.code(),
        Some(2)
    );
}

/// Number of processes that have their configuration in a folder of this rig.
fn sidecars_of(rig: u32) -> usize {
    let mark = format!("passroad-rig-{rig}-");
    let environment =
        |entry: &std::fs::DirEntry| std::fs::read(entry.path().join("environ")).unwrap_or_default();
    std::fs::read_dir("/proc")
        .unwrap()
        .flatten()
        .filter(|e| text(&environment(e)).contains(&mark))
        .count()
}

fn until(mut done: impl FnMut() -> bool) {
    let end = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while !done() {
        assert!(std::time::Instant::now() < end, "it did not come");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

// Sidecars end when the rig that started them is killed.
#[rstest]
fn no_sidecar_is_left_behind_when_the_rig_is_killed() {
    let folder = Folder::with(&SMALL.replace("3s", "60s"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_passroad-rig"));
    command
        .args(["run", "--on", "sockets"])
        .arg(folder.at("e.toml"))
        .stdout(std::process::Stdio::null());
    let mut child = command.spawn().unwrap();
    until(|| sidecars_of(child.id()) == 2);
    child.kill().unwrap();
    child.wait().unwrap();
    until(|| sidecars_of(child.id()) == 0);
}

/// The experiment with peers, one of which is paused for most of a long run.
fn experiment_with_peers() -> String {
    let with_length = SMALL.replace("length = \"3s\"", "length = \"60s\"\nsockets = \"first\"");
    with_length.replace("instances = 2", "instances = 3") + PEERS_AND_PAUSE
}

const PEERS_AND_PAUSE: &str = r#"
[peers]
lease = "1s"
[[peers.duty]]
name = "sweep"
every = "100ms"
within = "300ms"
[[fault]]
kind = "sidecar-pause"
at = "0s"
for = "50s"
instances = [1]
"#;

/// The child processes of a process, and whether each is stopped.
fn children(parent: u32) -> Vec<(u32, bool)> {
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let number = |entry: std::fs::DirEntry| {
        entry
            .file_name()
            .to_str()
            .and_then(|name| name.parse::<u32>().ok())
    };
    let own = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<String> = stat
            .rsplit_once(") ")?
            .1
            .split(' ')
            .map(str::to_string)
            .collect();
        (fields[1] == parent.to_string() && fields[0] != "Z").then(|| (pid, fields[0] == "T"))
    };
    all.flat_map(number).filter_map(own).collect()
}

// A stopped process can't see that its standard input closes, and has to be killed with its parent.
#[rstest]
fn no_stopped_sidecar_is_left_behind_when_the_rig_is_killed() {
    let folder = Folder::with(&experiment_with_peers());
    let mut rig = Command::new(env!("CARGO_BIN_EXE_passroad-rig"));
    let mut rig = rig.arg("run").arg(folder.at("e.toml")).spawn().unwrap();
    let until = |done: &dyn Fn() -> bool| {
        let started_at = std::time::Instant::now();
        while !done() {
            assert!(started_at.elapsed().as_secs() < 30, "it did not come");
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
    };
    until(&|| {
        children(rig.id())
            .iter()
            .filter(|(_, stopped)| *stopped)
            .count()
            == 1
    });
    let pids: Vec<u32> = children(rig.id()).into_iter().map(|(pid, _)| pid).collect();
    assert_eq!(pids.len(), 3);
    rig.kill().unwrap();
    rig.wait().unwrap();
    let alive = |pid: &u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        stat.rsplit_once(") ")
            .is_some_and(|(_, rest)| !rest.starts_with('Z'))
    };
    until(&|| !pids.iter().any(alive));
}
