//! The program as it is called: what it says, what it exits with, and what it leaves behind.

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

/// A folder of its own with one experiment, gone with it.
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

fn rig(words: &[&str], paths: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_passroad-rig"))
        .args(words)
        .args(paths)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
#[case::holds("[[hold]]\nmetric = \"served\"\nat_least = 0.9\n", 0, "holds: served")]
#[case::does_not(
    "[[hold]]\nmetric = \"served\"\nat_most = 0.1\n",
    1,
    "DOES NOT HOLD: served"
)]
fn what_must_hold_decides_the_exit_code(#[case] hold: &str, #[case] code: i32, #[case] said: &str) {
    let folder = Folder::with(&format!("{SMALL}{hold}"));
    let output = rig(&["run"], &[&folder.at("e.toml")]);
    assert_eq!(
        (output.status.code(), text(&output.stdout).contains(said)),
        (Some(code), true)
    );
}

#[rstest]
#[case::slip(&format!("{SMALL}speed = 1\n"), &["run"], "line 19: speed: unknown field")]
#[case::seeds(SMALL, &["run", "--seeds", "x"], "'x' is no seed")]
#[case::policy(SMALL, &["run", "--policies", "best"], "unknown 'best'")]
#[case::no_sidecar(SMALL, &["run", "--on", "sockets", "--sidecar", "/nowhere"], "--sidecar /nowhere")]
#[case::full_disk(SMALL, &["run", "--json", "/dev/full/x"], "/dev/full")]
#[case::virtually(&format!("sockets = \"needed\"\n{SMALL}"), &["run", "--on", "virtual"], "needs sockets")]
fn bad_input_is_told_in_one_place_and_exits_with_2(
    #[case] file: &str,
    #[case] words: &[&str],
    #[case] said: &str,
) {
    let folder = Folder::with(file);
    let output = rig(words, &[&folder.at("e.toml")]);
    let fault = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{fault}");
    assert!(fault.contains(said), "{fault}");
}

// A program that ends at once is no sidecar; what it said last is passed on.
#[rstest]
fn a_sidecar_that_does_not_come_up_is_named() {
    let folder = Folder::with(SMALL);
    let output = rig(
        &["run", "--on", "sockets", "--sidecar", "/bin/false"],
        &[&folder.at("e.toml")],
    );
    let fault = text(&output.stderr);
    assert_eq!(
        (output.status.code(), fault.lines().count()),
        (Some(2), 1),
        "{fault}"
    );
    assert!(
        fault.contains("sidecar 0 ended: its log is empty"),
        "{fault}"
    );
}

#[rstest]
fn the_same_days_give_the_same_report_on_one_thread_and_on_eight() {
    let folder = Folder::with(SMALL);
    let report = |threads: &str| {
        let words = [
            "run",
            "--seeds",
            "1..4",
            "--threads",
            threads,
            "--json",
            "-",
        ];
        rig(&words, &[&folder.at("e.toml")]).stdout
    };
    let (one, eight) = (report("1"), report("8"));
    assert!(one.len() > 1000);
    assert_eq!(one, eight);
}

#[rstest]
fn two_reports_are_compared_and_odd_ones_refused() {
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

/// How many processes have their configuration in a folder of this rig.
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

fn until(mut come: impl FnMut() -> bool) {
    let end = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while !come() {
        assert!(std::time::Instant::now() < end, "it did not come");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
}

// Its sidecars end with a rig that is killed in the middle.
#[rstest]
fn no_process_is_left_behind() {
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

/// The same with sidecars that talk, one of which is stopped for most of a long day.
fn talks() -> String {
    let talks = SMALL.replace("length = \"3s\"", "length = \"60s\"\nsockets = \"first\"");
    talks.replace("instances = 2", "instances = 3") + STOPPED
}

const STOPPED: &str = r#"
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

/// The processes that an other one started, and whether each is stopped.
fn children(of: u32) -> Vec<(u32, bool)> {
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
        (fields[1] == of.to_string() && fields[0] != "Z").then(|| (pid, fields[0] == "T"))
    };
    all.flat_map(number).filter_map(own).collect()
}

// Also a process that is stopped, and can't see that its standard input has ended.
#[rstest]
fn nothing_is_left_behind_when_the_rig_is_killed() {
    let folder = Folder::with(&talks());
    let mut rig = Command::new(env!("CARGO_BIN_EXE_passroad-rig"));
    let mut rig = rig.arg("run").arg(folder.at("e.toml")).spawn().unwrap();
    let until = |done: &dyn Fn() -> bool| {
        let began = std::time::Instant::now();
        while !done() {
            assert!(began.elapsed().as_secs() < 30, "it did not come");
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
