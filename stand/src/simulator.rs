//! The ledger under failure, in virtual time: every node's decisions, disk and
//! residency are the real ones; clock, network and disk faults are drawn from
//! a seed. Rules are checked after every step.

use consensus::node::{Effect, Input, Node, PersistedState, Role, Timing, Write};
use consensus::pack::{packed, unpacked};
use consensus::wal::{Files, WriteAheadLog};
use consensus::{Entry, EntryPayload, LogIndex, Member, Message, NodeId, Term};
use parking_lot::Mutex;
use residency::{Command, Name, Outcome, State, Submission};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::Arc;

/// A disk in memory. Invariant: what lies before `synced` survives a crash;
/// of what lies after it, some beginning may.
#[derive(Default)]
struct Disk {
    files: BTreeMap<String, (Vec<u8>, usize)>,
    /// The crash comes within a write: so many more operations are carried out,
    /// as they are, and every one after them fails.
    fuse: Option<u32>,
    is_full: bool,
}

#[derive(Clone, Default)]
pub struct MemoryFiles(Arc<Mutex<Disk>>);

impl MemoryFiles {
    /// What a crash leaves: `share` of each unsynced tail, in thousandths.
    pub fn crash(&self, share: usize) {
        let mut disk = self.0.lock();
        for (bytes, synced) in disk.files.values_mut() {
            let kept = *synced + (bytes.len() - *synced) * share / 1000;
            bytes.truncate(kept);
            *synced = kept;
        }
        disk.files.retain(|_, (bytes, _)| !bytes.is_empty());
        disk.fuse = None;
    }

    pub fn crash_after(&self, operations: u32) {
        self.0.lock().fuse = Some(operations);
    }

    pub fn set_full(&self, is_full: bool) {
        self.0.lock().is_full = is_full;
    }

    /// Flips one bit, as a failing disk would.
    pub fn damage(&self, name: &str, at: usize) {
        self.0.lock().files.get_mut(name).expect("the file is there").0[at] ^= 0x10;
    }
}

impl Disk {
    fn burn(&mut self) -> io::Result<()> {
        match &mut self.fuse {
            Some(0) => Err(io::ErrorKind::Interrupted.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

fn missing() -> io::Error {
    io::ErrorKind::NotFound.into()
}

impl Files for MemoryFiles {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.0.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.0.lock().files.get(name).map(|file| file.0.clone()).ok_or_else(missing)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        if disk.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.files.entry(name.into()).or_default().0.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        let file = disk.files.get_mut(name).ok_or_else(missing)?;
        file.1 = file.0.len();
        Ok(())
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        let file = disk.files.get_mut(name).ok_or_else(missing)?;
        file.0.truncate(length as usize);
        file.1 = file.1.min(length as usize);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        let file = disk.files.remove(from).ok_or_else(missing)?;
        disk.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.lock();
        disk.burn()?;
        disk.files.remove(name);
        Ok(())
    }
}

/// What is wrong, and when, with the seed that brings it back.
pub type Verdict = Result<Report, String>;

#[derive(Debug, Default, Clone)]
pub struct Report {
    pub acknowledged: usize,
    pub confirmed: usize,
    pub elections: usize,
    pub crashes: usize,
    pub disks_lost: usize,
    pub pictures_installed: usize,
    /// The longest time between two acknowledgements.
    pub gap_ms: u64,
}

/// Which failures a run may bring: of a message in thousandths, the others in
/// thousandths of a chance a second.
#[derive(Clone, Copy)]
pub struct Weather {
    pub loss: u64,
    pub duplicates: u64,
    pub delay: u64,
    pub crashes: u64,
    pub cuts: u64,
    pub one_way: u64,
    pub slow_disks: u64,
    pub full_disks: u64,
    pub lost_disks: u64,
    pub freezes: u64,
    pub all_down: u64,
    /// Of an acknowledgement, in thousandths: who gave it crashes at once, and
    /// others with it.
    pub after_word: u64,
    /// Of those moments, in thousandths: a minority loses its disks, too.
    pub disks_after_word: u64,
    /// The leader is told to hand over.
    pub hand_overs: u64,
    /// Entries in one message, at the most.
    pub batch: usize,
    /// A disk that has room again is taken back into use without a restart.
    pub mends: bool,
}

pub const CALM: Weather = Weather {
    loss: 0,
    duplicates: 0,
    delay: 5,
    crashes: 0,
    cuts: 0,
    one_way: 0,
    slow_disks: 0,
    full_disks: 0,
    lost_disks: 0,
    freezes: 0,
    all_down: 0,
    after_word: 0,
    disks_after_word: 0,
    hand_overs: 0,
    batch: 256,
    mends: false,
};

pub const STORM: Weather = Weather {
    loss: 50,
    duplicates: 50,
    delay: 40,
    crashes: 150,
    cuts: 150,
    one_way: 100,
    slow_disks: 100,
    full_disks: 30,
    lost_disks: 40,
    freezes: 100,
    all_down: 60,
    after_word: 10,
    disks_after_word: 200,
    hand_overs: 60,
    batch: 256,
    mends: false,
};

/// Disks that fill up again and again, and are taken back into use.
pub const FULL: Weather = Weather { full_disks: 400, mends: true, ..STORM };

/// Power that fails just after a word, and disks that are slow to keep it.
pub const POWER: Weather = Weather {
    loss: 100,
    delay: 60,
    slow_disks: 700,
    after_word: 60,
    disks_after_word: 300,
    all_down: 20,
    ..CALM
};

/// Leaders that come and go while what their predecessors left has not reached
/// everybody, entry by entry.
pub const SUCCESSION: Weather = Weather {
    loss: 150,
    duplicates: 50,
    delay: 60,
    crashes: 900,
    cuts: 400,
    one_way: 200,
    slow_disks: 300,
    hand_overs: 700,
    after_word: 40,
    batch: 1,
    ..CALM
};

enum Due {
    Deliver(Message),
    Beat(usize, u64),
    DiskDone(usize, u64),
    Restart(usize),
    /// Whoever looks after a machine made room on its disk, and restarts it.
    Emptied(usize, u64),
    /// A question that waited at a frozen node, before its clock goes on.
    Question(usize, u64),
    Heal,
}

struct Machine {
    identity: NodeId,
    name: String,
    zone: String,
    files: MemoryFiles,
    /// `None`: it is down.
    live: Option<Live>,
    /// Counts its starts, so that what was due for an earlier one is void.
    life: u64,
    frozen_until: u64,
    slow_until: u64,
    is_blank: bool,
    asked_in: u64,
}

struct Live {
    node: Node,
    segments: WriteAheadLog<MemoryFiles>,
    state: State,
    writes: VecDeque<(u64, Vec<Write>)>,
    is_disk_dead: bool,
    was_leader: bool,
    picture_at: LogIndex,
    /// Nothing but beats came since its last beat.
    is_calm: bool,
}

/// Invariants: `applied` holds, by index, the entry that was applied first
/// anywhere; `leaders` the one leader of each term.
pub struct Simulation {
    seed: u64,
    weather: Weather,
    now: u64,
    order: u64,
    queue: BTreeMap<(u64, u64), Due>,
    machines: Vec<Machine>,
    cuts: BTreeSet<(usize, usize)>,
    leaders: BTreeMap<Term, NodeId>,
    applied: BTreeMap<LogIndex, u64>,
    /// The highest index whose entry was acknowledged to whoever proposed it.
    acknowledged: LogIndex,
    /// Open questions: token to the index acknowledged when it was asked.
    asked: BTreeMap<u64, LogIndex>,
    tokens: u64,
    ids: BTreeMap<String, LogIndex>,
    report: Report,
    acknowledged_at: u64,
    doomed: Option<usize>,
}

/// A number below another, drawn from a seed that moves on.
pub fn draw(seed: &mut u64, below: u64) -> u64 {
    *seed ^= *seed << 13;
    *seed ^= *seed >> 7;
    *seed ^= *seed << 17;
    (*seed >> 11) % below.max(1)
}

const PICTURE_EVERY: u64 = 40;

impl Simulation {
    pub fn new(seed: u64, nodes: usize, weather: Weather) -> Simulation {
        let mut simulation = Simulation {
            seed: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            weather,
            now: 1_000_000,
            order: 0,
            queue: BTreeMap::new(),
            machines: Vec::new(),
            cuts: BTreeSet::new(),
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            acknowledged: 0,
            asked: BTreeMap::new(),
            tokens: 0,
            ids: BTreeMap::new(),
            report: Report::default(),
            acknowledged_at: 1_000_000,
            doomed: None,
        };
        for at in 0..nodes {
            let identity = simulation.draw(u64::MAX) | 1;
            simulation.machines.push(Machine {
                identity,
                name: format!("node-{at}"),
                zone: format!("zone-{}", at % 3),
                files: MemoryFiles::default(),
                live: None,
                life: 0,
                frozen_until: 0,
                slow_until: 0,
                is_blank: true,
                asked_in: 0,
            });
        }
        simulation
    }

    fn draw(&mut self, below: u64) -> u64 {
        draw(&mut self.seed, below)
    }

    fn chance(&mut self, thousandths: u64) -> bool {
        self.draw(1000) < thousandths
    }

    fn due(&mut self, after: u64, due: Due) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), due);
    }

    fn member(&self, at: usize) -> Member {
        let machine = &self.machines[at];
        Member {
            identity: machine.identity,
            name: machine.name.clone(),
            region: machine.zone.clone(),
            zone: machine.zone.clone(),
            address: machine.name.clone(),
            desk: String::new(),
        }
    }

    fn place(&self, identity: NodeId) -> Option<usize> {
        self.machines.iter().position(|machine| machine.identity == identity)
    }

    fn fail<T>(&self, text: impl std::fmt::Display) -> Result<T, String> {
        Err(format!("at {} ms: {text}", self.now - 1_000_000))
    }

    /// Starts a machine from what its disk has.
    fn start(&mut self, at: usize) -> Result<(), String> {
        let files = self.machines[at].files.clone();
        match WriteAheadLog::open(files) {
            Ok((segments, kept)) => self.begin(at, segments, kept),
            Err(error) => self.fail(format!("node-{at} can't read its disk: {error}")),
        }
    }

    /// A disk that was full is taken back into use.
    fn mend(&mut self, at: usize) -> Result<(), String> {
        let Some(live) = self.machines[at].live.as_mut() else { return Ok(()) };
        if !live.is_disk_dead {
            return Ok(());
        }
        match live.segments.reopened() {
            Ok((segments, kept)) => self.begin(at, segments, kept),
            Err(error) => self.fail(format!("node-{at} can't take its disk back: {error}")),
        }
    }

    fn begin(
        &mut self,
        at: usize,
        segments: WriteAheadLog<MemoryFiles>,
        kept: PersistedState,
    ) -> Result<(), String> {
        let state = match &kept.snapshot {
            Some(picture) => State::restore(&picture.state)?,
            None => State::default(),
        };
        let picture_at = kept.snapshot.as_ref().map_or(0, |picture| picture.index);
        let seed = self.draw(u64::MAX);
        let pace = Timing { batch: self.weather.batch, ..Timing::default() };
        let node = Node::new(self.machines[at].identity, pace, seed, self.now, kept);
        self.machines[at].life += 1;
        self.machines[at].is_blank = node.cluster() == 0;
        self.machines[at].live = Some(Live {
            node,
            segments,
            state,
            writes: VecDeque::new(),
            is_disk_dead: false,
            was_leader: false,
            picture_at,
            is_calm: false,
        });
        let life = self.machines[at].life;
        self.due(10, Due::Beat(at, life));
        Ok(())
    }

    /// Power goes; of what was being written, some may be on disk.
    fn crash(&mut self, at: usize) {
        let is_within_write = self.chance(500);
        let share = self.draw(1001) as usize;
        let operations = self.draw(8) as u32;
        let machine = &mut self.machines[at];
        let Some(mut live) = machine.live.take() else { return };
        // A disk that failed before takes no more.
        let is_within_write = is_within_write && !live.is_disk_dead;
        if let Some((_, batch)) = live.writes.pop_front().filter(|_| is_within_write) {
            machine.files.crash_after(operations);
            // The write runs into the crash; what it returns is lost with it.
            drop(live.segments.write(&batch));
        }
        machine.files.crash(share);
        machine.files.set_full(false);
        machine.life += 1;
        self.report.crashes += 1;
    }

    fn step(&mut self, at: usize, input: Input) -> Result<(), String> {
        let now = self.now;
        let Some(live) = self.machines[at].live.as_mut() else { return Ok(()) };
        // What `due` promises: before it, a beat finds nothing to do.
        let is_beat = matches!(input, Input::Tick);
        let is_early = is_beat && live.is_calm && live.node.due() > now;
        let before = (live.node.role(), live.node.leader());
        live.is_calm = is_beat;
        let effects = live.node.step(now, input);
        if is_early && (!effects.is_empty() || before != (live.node.role(), live.node.leader())) {
            return self.fail(format!("node-{at} had something to do before it was due"));
        }
        for effect in effects {
            self.carry(at, effect)?;
        }
        self.picture(at)?;
        self.check(at)
    }

    fn carry(&mut self, at: usize, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Write(ticket, writes) => {
                let live = self.machines[at].live.as_mut().expect("it just stepped");
                live.writes.push_back((ticket, writes));
                if live.writes.len() == 1 {
                    self.begin_write(at);
                }
            }
            Effect::Send(message) => self.send(at, message),
            Effect::Apply(entry, token) => self.apply(at, &entry, token)?,
            Effect::Restore(picture) => {
                let live = self.machines[at].live.as_mut().expect("it just stepped");
                live.state = State::restore(&picture.state)?;
                live.picture_at = picture.index;
                self.report.pictures_installed += 1;
            }
            Effect::ReadReady(token, index) => {
                if let Some(floor) = self.asked.remove(&token) {
                    self.report.confirmed += 1;
                    if index < floor {
                        return self.fail(format!(
                            "node-{at} confirmed index {index}, and {floor} was acknowledged \
                             before it was asked"
                        ));
                    }
                }
            }
            Effect::Refused(token, _) => {
                self.asked.remove(&token);
            }
        }
        Ok(())
    }

    fn begin_write(&mut self, at: usize) {
        let is_slow = self.machines[at].slow_until > self.now;
        let time = if is_slow { 300 + self.draw(1_500) } else { 1 + self.draw(8) };
        let life = self.machines[at].life;
        self.due(time, Due::DiskDone(at, life));
    }

    fn send(&mut self, from: usize, message: Message) {
        let Some(to) = self.place(message.to) else { return };
        if self.cuts.contains(&(from, to)) || self.chance(self.weather.loss) {
            return;
        }
        let copies = if self.chance(self.weather.duplicates) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = 1 + self.draw(self.weather.delay);
            // Messages pass each other, and all go through bytes.
            let message = unpacked(&packed(&message)).expect("a message reads back");
            self.due(delay, Due::Deliver(message));
        }
    }

    fn apply(&mut self, at: usize, entry: &Entry, token: Option<u64>) -> Result<(), String> {
        let sum = language::mark(&packed(entry));
        match self.applied.get(&entry.index) {
            Some(known) if *known != sum => {
                return self.fail(format!("node-{at} applied another entry {}", entry.index))
            }
            _ => self.applied.insert(entry.index, sum),
        };
        let now = self.now;
        let live = self.machines[at].live.as_mut().expect("it just stepped");
        if let EntryPayload::Command(bytes) = &entry.payload {
            let submission: Submission = unpacked(bytes)?;
            let before = live.state.epoch();
            let (outcome, _) = live.state.apply(entry.index, &submission);
            if live.state.epoch() < before {
                return self.fail(format!("node-{at}'s epoch fell"));
            }
            if let Outcome::Applied { epoch } = outcome {
                let known = *self.ids.entry(submission.id.clone()).or_insert(epoch);
                if known != epoch {
                    return self.fail(format!(
                        "submission {} was applied at {known} and at {epoch}",
                        submission.id
                    ));
                }
            }
        }
        if token.is_some() {
            self.acknowledged = self.acknowledged.max(entry.index);
            self.report.acknowledged += 1;
            self.report.gap_ms = self.report.gap_ms.max(now - self.acknowledged_at);
            self.acknowledged_at = now;
            if self.chance(self.weather.after_word) {
                self.doomed = Some(at);
            }
        }
        Ok(())
    }

    /// As the daemon does: between two steps, never within one, whose own writes
    /// would come after the picture's.
    fn picture(&mut self, at: usize) -> Result<(), String> {
        let now = self.now;
        let Some(live) = self.machines[at].live.as_mut() else { return Ok(()) };
        let index = live.node.applied();
        if index < live.picture_at + PICTURE_EVERY {
            return Ok(());
        }
        live.picture_at = index;
        let state = live.state.picture();
        for effect in live.node.step(now, Input::SnapshotTaken(index, state)) {
            self.carry(at, effect)?;
        }
        Ok(())
    }

    fn check(&mut self, at: usize) -> Result<(), String> {
        let identity = self.machines[at].identity;
        let Some(live) = self.machines[at].live.as_mut() else { return Ok(()) };
        let (role, term) = (live.node.role(), live.node.term());
        let was_leader = std::mem::replace(&mut live.was_leader, role == Role::Leader);
        if role == Role::Leader {
            if !was_leader {
                self.report.elections += 1;
            }
            let known = *self.leaders.entry(term).or_insert(identity);
            if known != identity {
                return self.fail(format!("term {term} has two leaders"));
            }
        }
        Ok(())
    }

    fn disk_done(&mut self, at: usize) -> Result<(), String> {
        let live = self.machines[at].live.as_mut().expect("checked by its life");
        let Some((ticket, batch)) = live.writes.pop_front() else { return Ok(()) };
        if live.is_disk_dead {
            return Ok(());
        }
        let input = match live.segments.write(&batch) {
            Ok(()) => Input::Synced(ticket),
            Err(_) => {
                live.is_disk_dead = true;
                Input::DiskFailed
            }
        };
        let has_more = !live.writes.is_empty() && !live.is_disk_dead;
        if has_more {
            self.begin_write(at);
        }
        self.step(at, input)
    }

    /// The machine whose node leads, in the highest term.
    fn leader(&self) -> Option<usize> {
        (0..self.machines.len())
            .filter(|at| {
                self.machines[*at].live.as_ref().is_some_and(|l| l.node.role() == Role::Leader)
            })
            .max_by_key(|at| self.machines[*at].live.as_ref().map(|live| live.node.term()))
    }

    fn is_up(&self, at: usize) -> bool {
        self.machines[at].live.as_ref().is_some_and(|live| !live.is_disk_dead)
            && self.machines[at].frozen_until <= self.now
    }

    fn run_until(&mut self, end: u64) -> Result<(), String> {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), due) = entry.remove_entry();
            self.now = time;
            match due {
                Due::Deliver(message) => {
                    let Some(to) = self.place(message.to) else { continue };
                    let frozen = self.machines[to].frozen_until;
                    if frozen > self.now {
                        // Sockets keep what came in meanwhile.
                        let wait = frozen - self.now;
                        self.due(wait, Due::Deliver(message));
                        continue;
                    }
                    self.step(to, Input::Received(message))?;
                }
                Due::Beat(at, life) if self.machines[at].life == life => {
                    if self.machines[at].frozen_until > self.now {
                        let wait = self.machines[at].frozen_until - self.now;
                        self.due(wait, Due::Beat(at, life));
                        continue;
                    }
                    self.step(at, Input::Tick)?;
                    self.ask_in(at)?;
                    self.due(10, Due::Beat(at, life));
                }
                Due::DiskDone(at, life) if self.machines[at].life == life => self.disk_done(at)?,
                Due::Restart(at) if self.machines[at].live.is_none() => self.start(at)?,
                Due::Emptied(at, life) if self.machines[at].life == life && self.weather.mends => {
                    self.machines[at].files.set_full(false);
                    self.mend(at)?;
                }
                Due::Emptied(at, life) if self.machines[at].life == life => {
                    self.crash(at);
                    self.start(at)?;
                }
                Due::Question(at, life) if self.machines[at].life == life => {
                    self.tokens += 1;
                    let token = self.tokens;
                    self.asked.insert(token, self.acknowledged);
                    self.step(at, Input::ReadIndex(token))?;
                }
                Due::Beat(..)
                | Due::DiskDone(..)
                | Due::Restart(_)
                | Due::Emptied(..)
                | Due::Question(..) => {}
                Due::Heal => self.cuts.clear(),
            }
            if let Some(at) = self.doomed.take() {
                self.die_after_word(at);
            }
        }
        self.now = end;
        Ok(())
    }

    /// A blank node, or one that knows no leader, asks whoever leads to be let in.
    fn ask_in(&mut self, at: usize) -> Result<(), String> {
        let Some(live) = self.machines[at].live.as_ref() else { return Ok(()) };
        let is_blank = live.node.cluster() == 0;
        let is_alone = is_blank || live.node.leader().is_none();
        self.machines[at].is_blank = is_blank;
        if !is_alone || self.now < self.machines[at].asked_in + 300 {
            return Ok(());
        }
        self.machines[at].asked_in = self.now;
        let Some(leader) = self.leader().filter(|leader| *leader != at && self.is_up(*leader))
        else {
            return Ok(());
        };
        if self.cuts.contains(&(at, leader)) || self.cuts.contains(&(leader, at)) {
            return Ok(());
        }
        self.tokens += 1;
        let (token, member) = (self.tokens, self.member(at));
        self.step(leader, Input::AddLearner(token, member))
    }

    /// What an operator and the routers do all the time: submit, sometimes a
    /// repeat, and have the leader confirm.
    fn work(&mut self) -> Result<(), String> {
        let count = self.machines.len() as u64;
        let at = match self.leader() {
            Some(leader) if self.chance(800) => leader,
            _ => self.draw(count) as usize,
        };
        if !self.is_up(at) {
            return Ok(());
        }
        self.tokens += 1;
        let token = self.tokens;
        if self.chance(400) {
            self.asked.insert(token, self.acknowledged);
            return self.step(at, Input::ReadIndex(token));
        }
        let id = match self.draw(5) {
            0 => format!("s-{}", self.draw(token)),
            _ => format!("s-{token}"),
        };
        let zone = Name(format!("zone-{}", token % 3));
        let command = match self.ids.is_empty() {
            true => Command::Revise {
                whole: true,
                text: r#"{"zones":{"zone-0":{"region":"a"},"zone-1":{"region":"b"},"zone-2":{"region":"c"}}}"#.into(),
            },
            false if token.is_multiple_of(2) => Command::Evacuate(zone),
            false => Command::GiveBack(zone),
        };
        let submission = Submission { id, base: 0, command };
        self.step(at, Input::Propose(token, packed(&submission)))
    }

    fn trouble(&mut self) -> Result<(), String> {
        let weather = self.weather;
        let count = self.machines.len();
        // Called twenty times a second.
        let each = |simulation: &mut Simulation, thousandths: u64| {
            (simulation.draw(20_000) < thousandths).then(|| simulation.draw(count as u64) as usize)
        };
        if let Some(at) = each(self, weather.crashes) {
            self.crash(at);
            let wait = 100 + self.draw(2_500);
            self.due(wait, Due::Restart(at));
        }
        if each(self, weather.all_down).is_some() {
            for at in 0..count {
                self.crash(at);
                let wait = 200 + self.draw(1_500);
                self.due(wait, Due::Restart(at));
            }
        }
        if let Some(at) = each(self, weather.cuts) {
            // One node, or one zone, is cut off in both directions.
            let zone = self.machines[at].zone.clone();
            let whole_zone = self.chance(400);
            for a in 0..count {
                let is_inside = a == at || (whole_zone && self.machines[a].zone == zone);
                for b in (0..count).filter(|_| is_inside) {
                    if !(whole_zone && self.machines[b].zone == zone) {
                        self.cuts.insert((a, b));
                        self.cuts.insert((b, a));
                    }
                }
            }
            let wait = 200 + self.draw(3_000);
            self.due(wait, Due::Heal);
        }
        if let Some(at) = each(self, weather.one_way) {
            let to = self.draw(count as u64) as usize;
            self.cuts.insert((at, to));
            let wait = 200 + self.draw(3_000);
            self.due(wait, Due::Heal);
        }
        if let Some(at) = each(self, weather.slow_disks) {
            // As often as not the one whose disk matters most.
            let at = self.leader().filter(|_| self.tokens.is_multiple_of(2)).unwrap_or(at);
            self.machines[at].slow_until = self.now + 500 + self.draw(3_000);
        }
        if let Some(at) = each(self, weather.full_disks) {
            if self.machines[at].live.is_some() {
                self.machines[at].files.set_full(true);
                let wait = 1_000 + self.draw(3_000);
                let life = self.machines[at].life;
                self.due(wait, Due::Emptied(at, life));
            }
        }
        if let Some(at) = each(self, weather.freezes) {
            let at = self.leader().filter(|_| self.tokens.is_multiple_of(2)).unwrap_or(at);
            let time = 200 + self.draw(4_000);
            self.machines[at].frozen_until = self.now + time;
            let life = self.machines[at].life;
            self.due(time, Due::Question(at, life));
        }
        if each(self, weather.hand_overs).is_some() {
            if let Some(at) = self.leader().filter(|at| self.is_up(*at)) {
                self.step(at, Input::TransferLeadership)?;
            }
        }
        if let Some(at) = each(self, weather.lost_disks) {
            self.lose_disk(at);
        }
        Ok(())
    }

    /// Any number of machines dies in the moment of an acknowledgement, whoever
    /// gave it among them; a minority of the voters may lose its disks with it.
    fn die_after_word(&mut self, at: usize) {
        let count = self.machines.len();
        let mut doomed: Vec<usize> = vec![at];
        doomed.extend((0..count).filter(|other| *other != at));
        let dying = 1 + self.draw(count as u64) as usize;
        // The first is whoever gave the word; the others in a drawn order.
        for place in 1..count {
            let other = place + self.draw((count - place) as u64) as usize;
            doomed.swap(place, other);
        }
        let most = match self.whole_voters() {
            Some(voters) => (voters - 1) / 2,
            None => 0,
        };
        let mut lost = match self.chance(self.weather.disks_after_word) {
            true => self.draw(most as u64 + 1) as usize,
            false => 0,
        };
        let identities: Vec<NodeId> = self
            .leader()
            .and_then(|leader| self.machines[leader].live.as_ref())
            .map(|live| live.node.members().voters.iter().map(|v| v.identity).collect())
            .unwrap_or_default();
        for at in doomed.into_iter().take(dying) {
            if lost > 0 && identities.contains(&self.machines[at].identity) {
                lost -= 1;
                self.replace_disk(at);
                continue;
            }
            self.crash(at);
            let wait = 100 + self.draw(1_500);
            self.due(wait, Due::Restart(at));
        }
    }

    /// How many voters there are, where each of them is up and has its disk,
    /// nobody is being let in, and the membership counts: while a voter is being
    /// added, two of five are two of four to those who have not heard of it.
    fn whole_voters(&self) -> Option<usize> {
        let leader = self.leader()?;
        let node = &self.machines[leader].live.as_ref()?.node;
        if !node.is_settled() {
            return None;
        }
        let members = node.members();
        let is_whole = |identity| {
            let at = self.place(identity)?;
            (self.is_up(at) && !self.machines[at].is_blank).then_some(())
        };
        let all_whole = members.voters.len() >= 3
            && members.learners.is_empty()
            && members.voters.iter().all(|voter| is_whole(voter.identity).is_some());
        all_whole.then_some(members.voters.len())
    }

    /// A disk is lost only while every voter has its own: more than a minority
    /// can't be asked of any majority.
    fn lose_disk(&mut self, at: usize) {
        let Some(leader) = self.leader().filter(|leader| *leader != at) else { return };
        let Some(live) = self.machines[leader].live.as_ref() else { return };
        let is_voter = live.node.members().is_voter(self.machines[at].identity);
        if is_voter && self.whole_voters().is_some() {
            self.replace_disk(at);
        }
    }

    fn replace_disk(&mut self, at: usize) {
        self.crash(at);
        self.report.disks_lost += 1;
        self.machines[at].files = MemoryFiles::default();
        self.machines[at].identity = self.draw(u64::MAX) | 1;
        let wait = 300 + self.draw(1_500);
        self.due(wait, Due::Restart(at));
    }

    /// Founds a cluster, lets the weather rage, then heals everything and
    /// expects all nodes to agree and to serve.
    pub fn run(mut self, ms: u64) -> Verdict {
        for at in 0..self.machines.len() {
            self.start(at)?;
        }
        let founder = self.member(0);
        self.step(0, Input::Bootstrap(founder, 77))?;
        // The weather is there from the first moment; founding may take a while.
        self.run_until(self.now + 5_000)?;
        let limit = self.now + 25_000;
        loop {
            let led = self.leader().and_then(|at| self.machines[at].live.as_ref());
            let voters = led.map(|live| live.node.members().voters.len());
            if voters == Some(self.machines.len().min(5)) {
                break;
            }
            if self.now >= limit {
                let states: Vec<String> = self
                    .machines
                    .iter()
                    .map(|machine| match &machine.live {
                        None => "down".into(),
                        Some(live) => format!(
                        "{:?} in term {}, cluster {}, last {}, commit {}, voters {:?}, stalled {}",
                        live.node.role(),
                        live.node.term(),
                        live.node.cluster(),
                        live.node.last(),
                        live.node.commit(),
                        live.node.members().voters.iter().map(|v| &v.name).collect::<Vec<_>>(),
                        live.node.is_stalled(),
                    ),
                    })
                    .collect();
                return self
                    .fail(format!("long after founding, voters are {voters:?}: {states:#?}"));
            }
            self.run_until(self.now + 500)?;
        }
        let end = self.now + ms;
        while self.now < end {
            self.run_until(self.now + 50)?;
            self.work()?;
            self.trouble()?;
        }
        // All is healed.
        self.cuts.clear();
        self.weather = CALM;
        for at in 0..self.machines.len() {
            self.machines[at].frozen_until = 0;
            self.machines[at].slow_until = 0;
            self.machines[at].files.set_full(false);
            if self.machines[at].live.as_ref().is_some_and(|live| live.is_disk_dead) {
                self.crash(at);
            }
            if self.machines[at].live.is_none() {
                self.start(at)?;
            }
        }
        // Waits that were drawn before may still be out; beats start anew.
        let before = self.acknowledged;
        let limit = self.now + 12_000;
        while self.now < limit {
            self.run_until(self.now + 50)?;
            self.work()?;
        }
        if self.acknowledged <= before {
            return self.fail("12 s after everything was healed nothing is acknowledged");
        }
        self.run_until(self.now + 2_000)?;
        self.agree()?;
        Ok(self.report)
    }

    fn agree(&self) -> Result<(), String> {
        let mut pictures = BTreeSet::new();
        for (at, machine) in self.machines.iter().enumerate() {
            let Some(live) = &machine.live else { continue };
            if live.node.applied() < self.acknowledged {
                let leader = self.leader().and_then(|at| self.machines[at].live.as_ref());
                return self.fail(format!(
                    "node-{at} has applied {} of {} acknowledged; last {}, role {:?}, term {}, \
                     unsynced writes {}, leader's members {:?}, progress {:?}",
                    live.node.applied(),
                    self.acknowledged,
                    live.node.last(),
                    live.node.role(),
                    live.node.term(),
                    live.writes.len(),
                    leader.map(|l| l
                        .node
                        .members()
                        .all()
                        .map(|m| m.name.clone())
                        .collect::<Vec<_>>()),
                    leader.map(|l| l.node.progress().collect::<Vec<_>>()),
                ));
            }
            pictures.insert(format!("{:?} {}", live.state.view.evacuated, live.state.epoch()));
        }
        match pictures.len() {
            1 => Ok(()),
            _ => self.fail(format!("the nodes differ: {pictures:?}")),
        }
    }
}
