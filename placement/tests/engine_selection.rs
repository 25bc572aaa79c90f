//! Rendezvous hashing with bounded load.

use placement::{rank, select_engine, Candidate};

fn candidate(index: usize, running: u32, limit: u32, tier: usize) -> Candidate {
    Candidate {
        index,
        hash: rank(0, index as u64 + 1),
        running,
        limit,
        tier,
    }
}

#[test]
fn bounded_load_spills_by_rank_then_by_tier() {
    let first = |engines: &[Candidate]| select_engine(7, engines);
    let free: Vec<Candidate> = (0..4).map(|i| candidate(i, 0, 4, i / 2)).collect();
    let home = first(&free).expect("all are free");
    assert!(home < 2, "the serving cell goes first");
    let mut full = free.clone();
    full[home].running = 4;
    assert_eq!(
        first(&full),
        Some(1 - home),
        "the next in rank of the same cell"
    );
    full[1 - home].running = 4;
    let spill = first(&full).expect("the spill cell is free");
    assert!(spill >= 2);
    full.iter_mut().for_each(|engine| engine.limit = 0);
    assert_eq!(first(&full), None);
}

#[test]
fn losing_an_engine_moves_only_its_own_prefixes() {
    let engines: Vec<Candidate> = (0..7).map(|i| candidate(i, 0, 4, 0)).collect();
    for prefix in 0..2000u64 {
        let before = select_engine(prefix, &engines).expect("all are free");
        let after = select_engine(prefix, &engines[..6]).expect("all are free");
        assert!(
            before == after || before == 6,
            "prefix {prefix} moved without need"
        );
    }
}
