//! Tests of capacity planning: fitting of laws, validation of targets and points, and the check of the generated page.

use passroad_rig::capacity::fit::{Form, fit};
use passroad_rig::capacity::number_format::format_number;
use passroad_rig::capacity::page::{BEGIN, END, tables, with_tables};
use passroad_rig::capacity::ranking::rank_rows;
use passroad_rig::capacity::roles::ROLES;
use passroad_rig::capacity::slopes::{self, Source, fit_laws, read_points};
use passroad_rig::capacity::target;
use proptest::prelude::*;
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

const SIZES: [f64; 5] = [61.0, 122.0, 305.0, 610.0, 1220.0];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn target_text() -> String {
    std::fs::read_to_string(repository().join("capacity/target.toml")).unwrap()
}

/// A temporary root folder with the inputs of the command and an empty page, deleted on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> TempFolder {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let name = format!(
            "rig-capacity-{}-{}",
            std::process::id(),
            COUNT.fetch_add(1, SeqCst)
        );
        let folder = TempFolder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(folder.0.join("capacity/points")).unwrap();
        std::fs::create_dir_all(folder.0.join("docs")).unwrap();
        folder.put("capacity/target.toml", &target_text());
        folder.put(
            "capacity/assumed.toml",
            "[[law]]\nrole = \"discovery\"\nquantity = \"bytes-out\"\nunit = \"B/s\"\ncondition = \"event:all-start\"\n\
             statistic = \"worst-second\"\nby = \"sidecars*endpoints\"\nslope = 150\nwhy = \"an entry is 150 bytes\"\n",
        );
        folder.put(
            "capacity/points/one.json",
            &points("one", false, |n| 100.0 + 2.0 * n),
        );
        folder.put(
            "docs/CAPACITY.md",
            &format!("# Capacity\n\n{BEGIN}\n{END}\n\nEnd.\n"),
        );
        folder
    }

    fn put(&self, name: &str, text: &str) {
        std::fs::write(self.0.join(name), text).unwrap();
    }

    fn get(&self, name: &str) -> String {
        std::fs::read_to_string(self.0.join(name)).unwrap()
    }

    fn run_rig(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_passroad-rig"));
        command
            .args(["capacity", "--root"])
            .arg(&self.0)
            .args(arguments)
            .output()
            .unwrap()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A points file with the bytes into a sidecar at rest, at all sizes.
fn points(run: &str, simulated: bool, law: impl Fn(f64) -> f64) -> String {
    let point = |n: &f64| {
        serde_json::json!({
            "role": "control", "quantity": "bytes-in", "unit": "B/s", "condition": "rest", "statistic": "busiest",
            "kind": "hollow", "at": { "sidecars": n, "endpoints": n, "services": 62 }, "value": law(*n),
        })
    };
    let points: Vec<_> = SIZES.iter().map(point).collect();
    serde_json::json!({ "run": run, "commit": "abc", "seed": 1, "simulated": simulated, "points": points })
        .to_string()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

proptest! {
    #[test]
    fn fit_recovers_the_generating_law(
        form in prop::sample::select(vec![Form::Constant, Form::Linear, Form::Sqrt, Form::Log, Form::Quadratic]),
        constant in 1.0..100.0f64,
        rise in 1.0..20.0f64, // rise at the largest size over the constant
        noise in prop::collection::vec(-1.0..1.0f64, 15),
    ) {
        let slope = constant * rise / form.transform(1220.0).max(1.0);
        let law = |x: f64| constant + slope * form.transform(x);
        // Three points at each size, with noise of a thousandth of the constant.
        let points: Vec<(f64, f64)> = (0..15)
            .map(|n| (SIZES[n % 5], law(SIZES[n % 5]) + noise[n] * 1e-3 * constant))
            .collect();
        let fitted = fit(&points).expect("points");
        prop_assert_eq!(fitted.form, form);
        for x in [100.0, 610.0, 3050.0] {
            prop_assert!((fitted.value_at(x) / law(x) - 1.0).abs() < 0.02, "{} for {} at {}", fitted.value_at(x), law(x), x);
        }
        prop_assert!(fitted.error <= 1.1e-3 * constant);
    }

    #[test]
    fn noise_alone_does_not_extrapolate_to_growth(noise in prop::collection::vec(-1.0..1.0f64, 15)) {
        let points: Vec<(f64, f64)> = (0..15).map(|n| (SIZES[n % 5], 50.0 + noise[n])).collect();
        let fitted = fit(&points).expect("points");
        prop_assert!((fitted.value_at(610.0) - 50.0).abs() < 2.0);
    }
}

#[rstest]
#[case(&[], None)]
#[case(&[(610.0, 4.0), (610.0, 6.0)], Some((Form::Constant, 5.0, 1.0, 1)))]
#[case(&[(61.0, 10.0), (610.0, 10.1)], Some((Form::Constant, 10.05, 0.05, 2)))]
#[case(&[(61.0, 10.0), (610.0, 100.0)], Some((Form::Linear, 100.0, 0.0, 2)))]
// A rise of less than a tenth of a percent counts as constant, whichever form fits best.
#[case(&[(61.0, 10.0), (122.0, 10.001), (305.0, 10.003), (610.0, 10.006)], Some((Form::Constant, 10.0025, 0.002291, 4)))]
// Three sizes are not enough for a curve.
#[case(&[(1.0, 1.0), (2.0, 4.0), (3.0, 9.0)], Some((Form::Linear, 2436.666667, 0.471405, 3)))]
fn curves_need_four_sizes(
    #[case] points: &[(f64, f64)],
    #[case] expected: Option<(Form, f64, f64, usize)>,
) {
    let fitted = fit(points);
    match (fitted, expected) {
        (None, None) => {}
        (Some(fitted), Some((form, at_610, error, sizes))) => {
            assert_eq!((fitted.form, fitted.sizes), (form, sizes));
            assert!(
                (fitted.value_at(610.0) - at_610).abs() < 1e-4,
                "{}",
                fitted.value_at(610.0)
            );
            assert!((fitted.error - error).abs() < 1e-4, "{}", fitted.error);
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case("endpoints = 610", "endpoint = 610", 7, "size.endpoint: unknown key")]
#[case("endpoints = 610\n", "", 5, "size.endpoints: missing")]
#[case(
    "endpoints = 610",
    "endpoints = -610",
    7,
    "size.endpoints: -610 is less than one"
)]
#[case(
    "endpoints = 610",
    "endpoints = 610.5",
    7,
    "size.endpoints: 610.5 is not an integer"
)]
#[case(
    "endpoints = 610",
    "endpoints = \"many\"",
    7,
    "size.endpoints: \"many\" is not a number"
)]
#[case(
    "calls_per_second = 140000",
    "calls_per_second = 0",
    11,
    "size.calls_per_second: 0 is not positive"
)]
#[case(
    "calls_per_second = 140000",
    "calls_per_second = nan",
    11,
    "size.calls_per_second: nan is not a number"
)]
#[case("zones = 11", "zones = 2", 10, "size.zones: fewer than regions")]
#[case(
    "added_p99 = \"0.53ms\"",
    "added_p99 = 0.53",
    16,
    "budget.added_p99: 0.53 is not a duration"
)]
#[case(
    "added_p99 = \"0.53ms\"",
    "added_p99 = \"0.53\"",
    16,
    "budget.added_p99: '0.53' has no unit"
)]
#[case(
    "control_cpu = \"2.9%\"",
    "control_cpu = \"290%\"",
    17,
    "budget.control_cpu: \"290%\" is above one"
)]
#[case("[machine]", "[machines]", 24, "machines: unknown key")]
#[case(
    "about = \"In about two years\"",
    "about = 2",
    3,
    "about: not a string"
)]
#[case("regions = 3", "regions 3", 9, "key")]
fn invalid_target_is_reported_with_file_line_and_key(
    #[case] old: &str,
    #[case] new: &str,
    #[case] line: usize,
    #[case] expected: &str,
) {
    let folder = TempFolder::new();
    assert!(target_text().contains(old));
    folder.put("bad.toml", &target_text().replacen(old, new, 1));
    let path = folder.0.join("bad.toml");
    let out = folder.run_rig(&["--target", path.to_str().unwrap()]);
    let printed = text(&out.stderr);
    assert_eq!(
        (out.status.code(), printed.trim_end().lines().count()),
        (Some(2), 1),
        "{printed}"
    );
    assert!(
        printed.contains(&format!("{}: line {line}: ", path.display()))
            && printed.contains(expected),
        "{printed}"
    );
    assert!(out.stdout.is_empty());
}

#[rstest]
fn check_detects_manual_changes() {
    let folder = TempFolder::new();
    assert!(folder.run_rig(&["--fit"]).status.success());
    let page = folder.get("docs/CAPACITY.md");
    assert!(page.starts_with("# Capacity\n") && page.ends_with("\nEnd.\n"));
    assert!(folder.run_rig(&["--check"]).status.success());
    // 100 + 2 x 610.
    let (from, to) = ("1,320", "1,310");
    assert!(page.contains(from));
    folder.put("docs/CAPACITY.md", &page.replacen(from, to, 1));
    let out = folder.run_rig(&["--check"]);
    let printed = text(&out.stdout);
    assert_eq!(out.status.code(), Some(1));
    assert!(
        printed.contains("docs/CAPACITY.md: line") && printed.contains(to),
        "{printed}"
    );
    assert!(
        folder.get("docs/CAPACITY.md").contains(to),
        "--check must not write"
    );
    // Text outside the marks is not checked.
    folder.put("docs/CAPACITY.md", &page.replace("End.", "Another end."));
    assert!(folder.run_rig(&["--check"]).status.success());
    // A changed law or changed points are detected as well.
    let slopes = folder.get("capacity/slopes.json");
    folder.put(
        "capacity/slopes.json",
        &slopes.replacen("\"slope\": 2.0", "\"slope\": 1.0", 1),
    );
    assert_ne!(slopes, folder.get("capacity/slopes.json"));
    assert_eq!(folder.run_rig(&["--check"]).status.code(), Some(1));
    folder.put("capacity/slopes.json", &slopes);
    folder.put(
        "capacity/points/two.json",
        &points("two", false, |n| 90.0 + 2.0 * n),
    );
    assert_eq!(folder.run_rig(&["--check"]).status.code(), Some(1));
}

#[rstest]
fn another_target_prints_tables_and_keeps_the_page() {
    let folder = TempFolder::new();
    assert!(folder.run_rig(&["--fit"]).status.success());
    let page = folder.get("docs/CAPACITY.md");
    let small = target_text()
        .replace("sidecars = 610 #", "sidecars = 100 #")
        .replace("about two years", "our house");
    folder.put("small.toml", &small);
    let path = folder.0.join("small.toml");
    let out = folder.run_rig(&["--target", path.to_str().unwrap()]);
    let printed = text(&out.stdout);
    assert!(
        out.status.success() && printed.contains("In our house: 100 sidecars"),
        "{printed}"
    );
    // 100 + 2 x 100, and no points at that size.
    assert!(
        printed.contains("| 300 |") && !printed.contains("1,320 |"),
        "{printed}"
    );
    assert_eq!(page, folder.get("docs/CAPACITY.md"));
}

#[rstest]
fn json_and_html_contain_all_estimates() {
    let folder = TempFolder::new();
    assert!(folder.run_rig(&["--fit"]).status.success());
    let out = folder.run_rig(&["--json", "-"]);
    let json: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON alone");
    let rows = json["rows"].as_array().expect("rows");
    let row = rows
        .iter()
        .find(|r| r["role"] == "control" && r["quantities"] == serde_json::json!(["bytes-in"]));
    let rest = &row.expect("a row")["conditions"]["rest"];
    assert_eq!(
        (rest["value"].as_f64(), rest["played"].as_f64()),
        (Some(1320.0), Some(1320.0))
    );
    // 100 + 2 x 2950 = 6000.
    assert!(
        (rest["passes_at_sidecars"].as_f64().unwrap() - 2950.0).abs() < 1.0,
        "{rest}"
    );
    assert_eq!(rest["source"], "measured");
    let path = folder.0.join("curves.html");
    assert!(
        folder
            .run_rig(&["--html", path.to_str().unwrap()])
            .status
            .success()
    );
    let page = folder.get("curves.html");
    assert!(
        page.contains("2,540 B/s") || page.contains("1,320 B/s"),
        "{page}"
    );
    assert!(
        page.matches("<svg").count() >= 2
            && page.matches("<svg").count() == page.matches("</svg>").count()
    );
    for forbidden in ["http://", "https://", "<script", "<link", "NaN", "inf\""] {
        assert!(!page.contains(forbidden), "{forbidden}");
    }
}

#[rstest]
fn measured_laws_are_preferred_to_simulated_laws() {
    let folder = TempFolder::new();
    let target = target::read(&target_text()).expect("a target");
    let write_points = |law: &dyn Fn(f64) -> f64, simulated, name: &str| {
        std::fs::write(
            folder.0.join("capacity/points").join(name),
            points(name, simulated, law),
        )
        .unwrap();
    };
    write_points(&|_| 7.0, true, "simulated.json");
    let files = read_points(&folder.0.join("capacity/points")).expect("points");
    let slopes = fit_laws(&files, Vec::new());
    assert_eq!(slopes.laws.len(), 2);
    let page_tables = tables(&slopes, &target);
    assert!(
        page_tables.contains("| bytes in, probes apart, B/s | 1,320 |"),
        "{page_tables}"
    );
    std::fs::remove_file(folder.0.join("capacity/points/one.json")).unwrap();
    let files = read_points(&folder.0.join("capacity/points")).expect("points");
    let slopes = fit_laws(&files, Vec::new());
    assert_eq!(slopes.laws[0].source, Source::Simulated);
    assert!(tables(&slopes, &target).contains("| bytes in, probes apart, B/s | 7 s |"));
}

#[rstest]
#[case(
    "\"role\":\"control\"",
    "\"role\":\"controls\"",
    "role: unknown 'controls'"
)]
#[case(
    "\"condition\":\"rest\"",
    "\"condition\":\"event:\"",
    "condition: unknown 'event:'"
)]
#[case(
    "\"statistic\":\"busiest\"",
    "\"statistic\":\"least\"",
    "statistic: unknown 'least'"
)]
#[case("\"seed\":1", "\"seeds\":1", "unknown field `seeds`")]
fn invalid_points_are_reported_with_their_file(
    #[case] old: &str,
    #[case] new: &str,
    #[case] expected: &str,
) {
    let folder = TempFolder::new();
    let points_text = folder.get("capacity/points/one.json");
    assert!(points_text.contains(old), "{points_text}");
    folder.put(
        "capacity/points/one.json",
        &points_text.replacen(old, new, 1),
    );
    let out = folder.run_rig(&["--fit"]);
    let printed = text(&out.stderr);
    assert_eq!(out.status.code(), Some(2));
    assert!(
        printed.contains("one.json: ") && printed.contains(expected),
        "{printed}"
    );
}

#[rstest]
#[case(0.0, "0")]
#[case(0.00012, "1.2e-4")]
#[case(0.0123, "0.012")]
#[case(1.0, "1")]
#[case(1.5, "1.50")]
#[case(12.34, "12.3")]
#[case(610.0, "610")]
#[case(999.7, "1,000")]
#[case(1234.0, "1,230")]
#[case(55_815_000.0, "55,800,000")]
fn numbers_have_three_significant_digits(#[case] value: f64, #[case] shown: &str) {
    assert_eq!(format_number(value), shown);
}

#[rstest]
#[case("a", None)]
#[case("a <B>x<E> b", Some("a <B>\n\ntables\n<E> b"))]
#[case("a <E><B>", None)]
#[case("<B><E><B><E>", None)]
fn tables_are_placed_between_the_marks(#[case] page: &str, #[case] expected: Option<&str>) {
    let marked = |text: &str| text.replace("<B>", BEGIN).replace("<E>", END);
    assert_eq!(with_tables(&marked(page), "tables\n"), expected.map(marked));
}

#[rstest]
fn mechanism_files_exist() {
    for role in &ROLES {
        let files = role.rows.iter().filter_map(|r| r.mechanism.file);
        for file in files.chain(role.state.iter().filter_map(|(_, _, m)| m.file)) {
            assert!(repository().join(file).is_file(), "{}: {file}", role.key);
        }
    }
}

#[rstest]
fn rows_are_ranked_by_what_breaks_first() {
    let target = target::read(&target_text()).expect("a target");
    let folder = TempFolder::new();
    let files = read_points(&folder.0.join("capacity/points")).expect("points");
    let slopes = fit_laws(&files, Vec::new());
    let ranked_rows = rank_rows(&slopes, &target);
    // Most rows have no estimate here: those without a mechanism come first, those with one last.
    let position = |wanted: &dyn Fn(&str) -> bool| {
        ranked_rows
            .iter()
            .position(|ranked| wanted(ranked.row.title))
            .expect("a row")
    };
    assert!(ranked_rows[0].estimate.is_none() && ranked_rows[0].row.mechanism.file.is_none());
    assert!(
        position(&|t| t.starts_with("bytes in, probes"))
            < position(&|t| t.starts_with("added to a call, p99"))
    );
}

/// Points with other attributes than the size become separate laws.
#[rstest]
fn other_varying_attributes_separate_laws() {
    let folder = TempFolder::new();
    let point = |n: usize, services: usize, connections: &str, value: f64| {
        serde_json::json!({
            "role": "call-path", "quantity": "added-p99", "unit": "ms", "condition": "ordinary", "statistic": "mean",
            "at": { "sidecars": n, "endpoints": 2 * n, "services": services, "connections": connections }, "value": value,
        })
    };
    let all = [
        point(60, 6, "warm", 9.0),
        point(61, 62, "warm", 1.0),
        point(122, 62, "warm", 2.0),
        point(305, 62, "warm", 5.0),
        point(61, 62, "cold", 7.0),
    ];
    folder.put(
        "capacity/points/one.json",
        &serde_json::json!({ "run": "r", "commit": "c", "seed": 1, "simulated": false, "points": all })
            .to_string(),
    );
    let files = read_points(&folder.0.join("capacity/points")).expect("points");
    let slopes = fit_laws(&files, Vec::new());
    let mut sizes: Vec<(usize, String)> = slopes
        .laws
        .iter()
        .map(|l| {
            (
                l.points.len(),
                l.fixed["connections"]
                    .as_str()
                    .unwrap_or_default()
                    .to_string(),
            )
        })
        .collect();
    sizes.sort();
    assert_eq!(
        sizes,
        [(1, "cold".into()), (1, "warm".into()), (3, "warm".into())]
    );
    let law = slopes
        .laws
        .iter()
        .find(|l| l.points.len() == 3)
        .expect("a law");
    assert_eq!((&law.by[..], law.form), ("sidecars", Form::Linear));
    assert!(
        (law.value_at(&target::read(&target_text()).unwrap(), 1.0)
            .unwrap()
            - 10.0)
            .abs()
            < 1e-3
    );
}

const FLEET_EXPERIMENT: &str = r#"
about = "talk"
length = "6s"
settle = "2s"
instances = 5
policies = ["passroad"]
[fleet.kind.plain]
cores = 2
[[fleet.group]]
kind = "plain"
count = 2
[[verb]]
name = "look"
effect = "pure"
work = "5ms"
goal = "400ms"
limit = "1s"
[load]
per_second = 10
[peers]
lease = "3s"
[[peers.duty]]
name = "sweep"
every = "1s"
within = "500ms"
work = "5ms"
"#;

/// --simulate writes one points file per seed, which the command can read and which is marked as simulated.
#[rstest]
#[case::fleet(FLEET_EXPERIMENT, "duty-owner", 5)]
#[case::calls(FLEET_EXPERIMENT.split_once("[peers]").unwrap().0, "endpoint", 6)]
fn simulation_writes_points(
    #[case] experiment: &str,
    #[case] role: &str,
    #[case] points_per_size: usize,
) {
    let folder = TempFolder::new();
    folder.put("e.toml", experiment);
    std::fs::remove_file(folder.0.join("capacity/points/one.json")).unwrap();
    let (file, points) = (
        folder.0.join("e.toml"),
        folder.0.join("capacity/points/{seed}.json"),
    );
    let [file, points] = [&file, &points].map(|p| p.to_str().unwrap());
    let arguments = [
        "--simulate",
        file,
        "--sizes",
        "5,10,20",
        "--seeds",
        "1,2",
        "--commit",
        "abc",
        "--json",
        points,
    ];
    let out = folder.run_rig(&arguments);
    assert!(out.status.success(), "{}", text(&out.stderr));
    let files = read_points(&folder.0.join("capacity/points")).expect("points");
    assert_eq!(
        files
            .iter()
            .map(|(run, p)| (run.seed, p.len()))
            .collect::<Vec<_>>(),
        [(1, 3 * points_per_size), (2, 3 * points_per_size)]
    );
    assert!(
        files
            .iter()
            .all(|(run, _)| run.simulated && run.commit == "abc")
    );
    let slopes = fit_laws(&files, Vec::new());
    let law = slopes.laws.iter().find(|l| l.role == role).expect("a law");
    assert_eq!((law.source, law.points.len()), (Source::Simulated, 6));
}

/// Checks the committed laws: only rows without a mechanism may lack a law.
#[rstest]
fn rows_with_a_mechanism_have_laws() {
    let target = target::read(&target_text()).expect("a target");
    let slopes = slopes::read(&repository().join("capacity/slopes.json")).expect("laws");
    for role in &ROLES {
        for row in role.rows {
            let known = row.quantities.iter().all(|part| {
                slopes.laws.iter().any(|l| {
                    l.role == role.key && l.quantity == *part && l.value_at(&target, 1.0).is_some()
                })
            });
            assert!(
                known || row.mechanism.file.is_none(),
                "{}: {}",
                role.key,
                row.title
            );
        }
    }
}

/// With points of one size the growth is unknown, and the tables say so.
#[rstest]
#[case(
    7000.0,
    "| **1.17** | not known | not known | 610 sidecars or fewer, of one size |"
)]
#[case(600.0, "| 0.100 | not known | not known | not known, of one size |")]
fn one_size_gives_no_growth(#[case] value: f64, #[case] shown: &str) {
    let folder = TempFolder::new();
    let point = serde_json::json!({
        "role": "control", "quantity": "bytes-out", "unit": "B/s", "condition": "rest", "statistic": "busiest",
        "kind": "hollow", "at": { "sidecars": 610 }, "value": value,
    });
    let file = serde_json::json!({ "run": "r", "commit": "c", "seed": 1, "simulated": false, "points": [point] });
    folder.put("capacity/points/one.json", &file.to_string());
    let files = read_points(&folder.0.join("capacity/points")).expect("points");
    let page_tables = tables(
        &fit_laws(&files, Vec::new()),
        &target::read(&target_text()).expect("a target"),
    );
    assert!(page_tables.contains(shown), "{page_tables}");
}

/// The tables show by how much simulated sidecar processes ("hollow") differ from real ones at one size.
#[rstest]
#[case(100.0, 95.0, "| 60 | 100 | 95 | within a tenth (-5.0%) |")]
#[case(100.0, 56.0, "| 60 | 100 | 56 | **44.0% too low** |")]
#[case(0.0, 1.0, "| 60 | 0 | 1 | no telling |")]
fn hollow_is_compared_with_real(#[case] real: f64, #[case] hollow: f64, #[case] shown: &str) {
    let folder = TempFolder::new();
    let point = |kind: &str, sidecars: usize, value: f64| {
        serde_json::json!({
            "role": "control", "quantity": "cpu", "unit": "core", "condition": "rest", "statistic": "mean",
            "kind": kind, "at": { "sidecars": sidecars }, "value": value,
        })
    };
    // Hollow ones also have points at another size, so that theirs is a law that grows.
    let all = [
        point("real", 60, real),
        point("hollow", 60, hollow),
        point("hollow", 610, 10.0 * hollow),
    ];
    let file = serde_json::json!({ "run": "r", "commit": "c", "seed": 1, "simulated": false, "points": all });
    folder.put("capacity/points/one.json", &file.to_string());
    let files = read_points(&folder.0.join("capacity/points")).expect("points");
    let page_tables = tables(
        &fit_laws(&files, Vec::new()),
        &target::read(&target_text()).expect("a target"),
    );
    assert!(page_tables.contains(shown), "{page_tables}");
}
