//! Scale runs from the command line: rejected files, the results of a small run, and that no process remains.

use rstest::rstest;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

const SMALL: &str = r#"about = "small"
sizes = [12]
services = 3
zones = 4
regions = 2
calls = 2
settle = "3s"
length = "4s"
[fleet]
period = "500ms"
[[hold]]
metric = "listed"
at_least = 1
[[hold]]
metric = "longest"
at_most = 256
"#;

struct Folder(PathBuf);

impl Folder {
    fn with(name: &str, text: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("passroad-scale-test-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join("scale.toml"), text).unwrap();
        Folder(path)
    }

    fn rig(&self) -> Command {
        let mut rig = Command::new(env!("CARGO_BIN_EXE_passroad-rig"));
        rig.arg("scale").arg(self.0.join("scale.toml"));
        rig
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn stdout_and_stderr(output: &Output) -> (String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (text(&output.stdout), text(&output.stderr))
}

#[rstest]
#[case::unknown("unknown", "speed = 3\n", "line 1: speed: ")]
#[case::no_unit("no-unit", "settle = 3\n", "line 1: settle: ")]
#[case::zones(
    "zones",
    "apart = \"5ms\"\nreal = 900\n",
    "line 2: real: 900 is not from 0 to 12"
)]
fn errors_name_file_line_and_key(#[case] name: &str, #[case] prefix: &str, #[case] message: &str) {
    let folder = Folder::with(
        name,
        &format!("{prefix}{}", SMALL.replace("settle = \"3s\"\n", "")),
    );
    let output = folder.rig().output().unwrap();
    let (_, error) = stdout_and_stderr(&output);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        error.lines().count() == 1 && error.contains("scale.toml: ") && error.contains(message),
        "{error}"
    );
}

#[rstest]
#[case::kind(
    "kind",
    "[[event]]\nname = \"e\"\nkind = \"melt\"\nat = \"1s\"\nfor = \"1s\"\n",
    "kind: unknown 'melt'"
)]
#[case::region(
    "region",
    "[[event]]\nname = \"e\"\nkind = \"cut\"\nregion = 2\nat = \"1s\"\nfor = \"1s\"\n",
    "region: 2 is not from 0 to 1"
)]
#[case::late(
    "late",
    "[[event]]\nname = \"e\"\nkind = \"kill\"\nat = \"3s\"\nfor = \"2s\"\n",
    "at: the event ends after"
)]
#[case::metric(
    "metric",
    "[[hold]]\nmetric = \"seconds\"\nat_least = 1\n",
    "metric: unknown 'seconds'"
)]
fn errors_in_events_and_conditions_name_line_and_key(
    #[case] name: &str,
    #[case] suffix: &str,
    #[case] message: &str,
) {
    let folder = Folder::with(name, &format!("{SMALL}{suffix}"));
    let output = folder.rig().output().unwrap();
    let (_, error) = stdout_and_stderr(&output);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        error.lines().count() == 1 && error.contains("line ") && error.contains(message),
        "{error}"
    );
}

#[rstest]
fn run_that_exceeds_the_machine_prints_its_requirements_and_is_refused() {
    let folder = Folder::with("fit", &SMALL.replace("[12]", "[1290]"));
    // The shell that starts the rig sets a low descriptor limit for it.
    let output = Command::new("sh")
        .arg("-c")
        .arg("ulimit -n 300; exec \"$0\" scale \"$1\"")
        .arg(env!("CARGO_BIN_EXE_passroad-rig"))
        .arg(folder.0.join("scale.toml"))
        .output()
        .unwrap();
    let (out, error) = stdout_and_stderr(&output);
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        out.contains("needs 11 processes of 200") && error.contains("does not fit"),
        "{out}{error}"
    );
}

/// A run of simulated sidecars, one of which is killed and restarted, and a real one: every sidecar learns of the death
/// and of the restart, and points of both kinds are written.
#[rstest]
fn simulated_and_real_sidecars_are_measured_alike() {
    let text = SMALL
        .replace("settle", "real = 1\nsettle")
        .replace("length = \"4s\"", "length = \"22s\"");
    let event =
        "[[event]]\nname = \"death\"\nkind = \"kill\"\ncount = 1\nat = \"8s\"\nfor = \"9s\"\n";
    let folder = Folder::with("points", &format!("{text}{event}"));
    let json = folder.0.join("points.json");
    let output = folder
        .rig()
        .arg("--json")
        .arg(&json)
        .args(["--commit", "abc"])
        .output()
        .unwrap();
    let (out, error) = stdout_and_stderr(&output);
    assert_eq!(output.status.code(), Some(0), "{out}{error}");
    let report: serde_json::Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!(
        (&report["commit"], &report["seed"], &report["simulated"]),
        (&"abc".into(), &1.into(), &false.into())
    );
    let points = report["points"].as_array().unwrap();
    let value = |kind: &str, condition: &str, quantity: &str| {
        let point = points.iter().find(|point| {
            point["role"] == "control"
                && point["kind"] == kind
                && point["condition"] == condition
                && point["quantity"] == quantity
                && point["statistic"] == "mean"
        });
        point.unwrap_or_else(|| panic!("{kind} {condition} {quantity}: {out}"))["value"]
            .as_f64()
            .unwrap()
    };
    for kind in ["hollow", "real"] {
        for quantity in [
            "bytes-in",
            "bytes-out",
            "messages-in",
            "messages-out",
            "cpu",
            "memory",
        ] {
            assert!(
                value(kind, "rest", quantity) > 0.0,
                "{kind} {quantity}: {out}"
            );
        }
    }
    // A simulated sidecar sends about as many messages as a real one.
    let ratio = value("hollow", "rest", "messages-out") / value("real", "rest", "messages-out");
    assert!((0.3..3.0).contains(&ratio), "{ratio}: {out}");
    assert!(
        out.contains("1 of 1 deaths known by all") && out.contains("1 of 1 starts known by all"),
        "{out}"
    );
}

fn children(parent_pid: u32) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").unwrap().flatten();
    let pid = |entry: std::fs::DirEntry| {
        entry
            .file_name()
            .to_str()
            .and_then(|name| name.parse::<u32>().ok())
    };
    entries
        .flat_map(pid)
        .filter(|pid| parent(*pid) == Some(parent_pid))
        .collect()
}

/// The parent of a process; None if it has ended.
fn parent(pid: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<String> = stat
        .rsplit_once(") ")?
        .1
        .split(' ')
        .map(str::to_string)
        .collect();
    (fields[0] != "Z").then(|| fields[1].parse().ok()).flatten()
}

#[rstest]
fn no_process_remains_when_the_rig_is_killed() {
    let folder = Folder::with(
        "left",
        &SMALL.replace("length = \"4s\"", "length = \"60s\"\nreal = 1"),
    );
    let mut rig = folder
        .rig()
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let wait_until = |failure: &str, done: &dyn Fn() -> bool| {
        let started = Instant::now();
        while !done() {
            assert!(started.elapsed().as_secs() < 30, "{failure}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    wait_until("the rig has not started two children", &|| {
        children(rig.id()).len() == 2
    });
    let pids = children(rig.id());
    rig.kill().unwrap();
    rig.wait().unwrap();
    wait_until("some child processes remain", &|| {
        pids.iter().all(|pid| parent(*pid).is_none())
    });
}
