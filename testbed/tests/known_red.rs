//! `scripts/test` and KNOWN-RED.txt: what is passed over, and what is refused. In a
//! small workspace of its own, whose packages have tests of the same names.

mod common;

use common::Folder;
use std::path::Path;
use std::process::Command;

const SCRIPT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../scripts/test");
const PASSING: &str = "#[test]\nfn late() {}\n#[test]\nfn late_too() {}\n";
const FAILING: &str = "#[test]\nfn late() { panic!(\"late\") }\n#[test]\nfn late_too() {}\n";

fn write(path: &Path, text: &str) {
    std::fs::create_dir_all(path.parent().expect("a file in a folder")).expect("a folder");
    std::fs::write(path, text).expect("it is written");
}

/// Two packages, each with the test files `edge` and `core`.
fn workspace(name: &str) -> Folder {
    let folder = Folder::new(name);
    let root = &folder.0;
    write(
        &root.join("Cargo.toml"),
        "[workspace]\nresolver = \"2\"\nmembers = [\"a\", \"b\"]\n",
    );
    for package in ["a", "b"] {
        let manifest =
            format!("[package]\nname = \"{package}\"\nversion = \"0.1.0\"\nedition = \"2021\"\n");
        write(&root.join(package).join("Cargo.toml"), &manifest);
        write(&root.join(package).join("src/lib.rs"), "");
        for test_file in ["edge", "core"] {
            write(
                &root
                    .join(package)
                    .join("tests")
                    .join(format!("{test_file}.rs")),
                PASSING,
            );
        }
    }
    let locked = cargo(root)
        .args(["generate-lockfile", "--offline"])
        .status();
    assert!(locked.expect("cargo runs").success());
    folder
}

fn cargo(root: &Path) -> Command {
    let mut command = Command::new(env!("CARGO"));
    command.current_dir(root);
    command
}

/// What the script prints, and whether it passed.
fn check(root: &Path, known_red: Option<&str>) -> (bool, String) {
    let list = root.join("KNOWN-RED.txt");
    match known_red {
        Some(text) => write(&list, text),
        None => drop(std::fs::remove_file(&list)),
    }
    let mut command = Command::new(SCRIPT);
    command
        .current_dir(root)
        .env("CARGO_TARGET_DIR", root.join("target"));
    let output = command.output().expect("the script runs");
    let both = [&output.stdout[..], &output.stderr[..]].concat();
    (
        output.status.success(),
        String::from_utf8_lossy(&both).into_owned(),
    )
}

#[test]
fn a_known_failure_is_passed_over_and_printed_and_no_other_test_is() {
    let folder = workspace("known-red");
    let root = &folder.0;
    write(&root.join("b/tests/edge.rs"), FAILING);
    let line = "b/edge::late | the lease comes late | #12";

    let (is_passed, text) = check(root, None);
    assert!(
        !is_passed,
        "without the file nothing is passed over: {text}"
    );

    let (is_passed, text) = check(root, Some(&format!("{line}\n")));
    assert!(is_passed, "{text}");
    assert!(text.contains(&format!("  {line}\n")), "{text}");
    assert_eq!(
        text.matches("test late ... ok").count(),
        3,
        "the namesakes run: {text}"
    );
    assert_eq!(
        text.matches("test late_too ... ok").count(),
        4,
        "a longer name runs: {text}"
    );
    assert_eq!(text.matches("1 filtered out").count(), 1, "{text}");

    write(&root.join("a/tests/edge.rs"), FAILING);
    let (is_passed, text) = check(root, Some(line));
    assert!(!is_passed, "the same name in another package fails: {text}");
    assert!(text.contains("test late ... FAILED"), "{text}");
}

/// Lines of issue 54 don't count against the most that there may be; those of others still do.
#[test]
fn lines_of_one_issue_do_not_count() {
    let folder = workspace("known-red-uncounted");
    let root = &folder.0;
    let line = |test: &str, issue: &str| format!("{test} | the memory is exceeded | {issue}\n");
    let uncounted = ["a/edge::late", "a/core::late"].map(|test| line(test, "#54"));
    let counted =
        ["b/edge::late", "b/core::late", "a/edge::late_too"].map(|test| line(test, "#12"));

    let list = [&uncounted[..], &counted[..]].concat().concat();
    let (is_passed, text) = check(root, Some(&list));
    assert!(is_passed, "{text}");
    for line in list.lines() {
        assert!(text.contains(&format!("  {line}\n")), "{line} in {text}");
    }

    for issue in ["#12", "#540", "#5", "see #54", "#54 and #12"] {
        let list = list.clone() + &line("a/core::late_too", issue);
        let (is_passed, text) = check(root, Some(&list));
        assert!(!is_passed, "{issue}: {text}");
        assert!(text.contains("it has 4 lines, 3 at most"), "{text}");
    }
}

#[test]
fn a_list_that_is_not_in_order_is_refused() {
    let folder = workspace("known-red-refused");
    let line = |test: &str| format!("{test} | the lease comes late | #12\n");
    let four = [
        "a/edge::late",
        "a/core::late",
        "b/edge::late",
        "b/core::late",
    ]
    .map(line)
    .concat();
    let cases = [
        (four, "it has 4 lines, 3 at most"),
        (line("b/edge::early"), "there is no test b/edge::early"),
        (line("b/edge::lat"), "there is no test b/edge::lat"),
        (line("c/edge::late"), "there is no test c/edge::late"),
        (
            "b/edge::late | the lease comes late\n".into(),
            "no `package/test-file::test",
        ),
        (
            "b/edge::late | the lease comes late | \n".into(),
            "no `package/test-file::test",
        ),
        (
            "b/edge::late |  | #12\n".into(),
            "no `package/test-file::test",
        ),
        (line("late"), "no `package/test-file::test"),
        (
            line("b/edge::late").repeat(2),
            "it names b/edge::late twice",
        ),
        ("\n".into(), "it is empty"),
    ];
    for (list, wanted) in cases {
        let (is_passed, text) = check(&folder.0, Some(&list));
        assert!(!is_passed, "{list:?} passed: {text}");
        assert!(text.contains(wanted), "{list:?} lacks {wanted:?}: {text}");
    }
}
