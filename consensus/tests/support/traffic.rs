//! What goes over the links of a test cluster.

use consensus::{EntryPayload, Message, MessageBody};

/// Messages that were sent, and what was in them.
#[derive(Clone, Copy, Default, Debug)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub snapshots: u64,
    pub entries: u64,
}

impl Traffic {
    pub fn count(&mut self, message: &Message) {
        self.messages += 1;
        self.bytes += size(message);
        match &message.body {
            MessageBody::InstallSnapshot { .. } => self.snapshots += 1,
            MessageBody::AppendEntries { entries, .. } => self.entries += entries.len() as u64,
            _ => {}
        }
    }
}

/// About how long a message is on a link.
pub fn size(message: &Message) -> u64 {
    let body = match &message.body {
        MessageBody::AppendEntries { entries, .. } => entries
            .iter()
            .map(|entry| match &entry.payload {
                EntryPayload::Command(bytes) => 21 + bytes.len(),
                EntryPayload::Noop | EntryPayload::Membership(_) => 21,
            })
            .sum(),
        MessageBody::InstallSnapshot { snapshot, .. } => snapshot.state.len(),
        _ => 0,
    };
    60 + body as u64
}
