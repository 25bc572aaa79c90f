//! Journals that are read back.

use testbed::journal::read;

#[test]
fn a_torn_last_line_is_left_out_and_any_other_is_reported() {
    let path = std::env::temp_dir().join(format!("rushport-journal-{}", std::process::id()));
    let cases: [(&str, Result<usize, &str>); 5] = [
        ("", Ok(0)),
        ("{\"a\":1}\n{\"a\":2}\n", Ok(2)),
        ("{\"a\":1}\n{\"a\":2}", Ok(2)),
        ("{\"a\":1}\n{\"a", Ok(1)),
        ("{\"a\n{\"a\":2}\n", Err("line 1")),
    ];
    for (text, wanted) in cases {
        std::fs::write(&path, text).expect("it is written");
        match (read(&path), wanted) {
            (Ok(lines), Ok(count)) => assert_eq!(lines.len(), count, "{text:?}"),
            (Err(error), Err(place)) => assert!(error.to_string().contains(place), "{error}"),
            (found, _) => panic!("{text:?}: {found:?}"),
        }
    }
    drop(std::fs::remove_file(&path));
}
