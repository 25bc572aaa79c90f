//! The first seed loses its disk soon after the first start of all; no case, see REPORT.md.
//! Arguments: the root of the project, and after how many milliseconds.

use review_stand_ins::engine::{self, List};
use review_stand_ins::operator::{self, Route};
use review_stand_ins::record::Record;
use review_stand_ins::site::Site;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
fn main() {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("the root of the project"));
    let ms = arguments.next().expect("a time in milliseconds");
    let ms: u64 = ms.parse().expect("a number");
    let record = Record::default();
    let mut site = Site::new(&root, 5, 0, record.clone()).unwrap();
    let list: List = Arc::default();
    engine::serve_list(site.bind_list().unwrap(), Arc::clone(&list));
    site.start_all().unwrap();
    thread::sleep(Duration::from_millis(ms));
    site.kill(0);
    site.wipe(0);
    thread::sleep(Duration::from_millis(1000));
    site.start(0, false).unwrap();
    let doc = operator::document(
        1,
        &[Route {
            name: "web",
            path: "/web/",
            kind: "safe",
            service: "web",
            give_up_ms: 6000,
            tries: 2,
            pick_up: false,
        }],
        &["web"],
        16384,
    );
    let c = site.controls();
    println!(
        "{ms} ms: {:?} at {}",
        operator::order(
            &c,
            "PUT",
            "/api/config",
            Some(0),
            &doc,
            Duration::from_secs(12),
            &record
        ),
        record.ms()
    );
}
