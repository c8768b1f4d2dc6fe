//! Registry of the flows' tasks.

use std::collections::HashMap;
use std::rc::Rc;

use citronhollow_core::flow::FlowId;

use super::mailbox::Mailbox;

/// Mailboxes of the running tasks, by flow.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    mailboxes: HashMap<FlowId, Rc<Mailbox>>,
}

impl Tasks {
    /// Registers a task and returns its mailbox.
    pub(super) fn add(&mut self, flow: FlowId) -> Rc<Mailbox> {
        let mailbox = Rc::new(Mailbox::default());
        self.mailboxes.insert(flow, Rc::clone(&mailbox));
        mailbox
    }

    /// Returns the mailbox of the flow's task.
    pub(super) fn get(&self, flow: &FlowId) -> Option<&Rc<Mailbox>> {
        self.mailboxes.get(flow)
    }

    /// Removes the flow's task and returns its mailbox.
    pub(super) fn remove(&mut self, flow: &FlowId) -> Option<Rc<Mailbox>> {
        self.mailboxes.remove(flow)
    }

    /// Removes the task that has this mailbox, and returns whether it was still registered.
    pub(super) fn remove_exact(&mut self, flow: &FlowId, mailbox: &Rc<Mailbox>) -> bool {
        let is_same = self
            .get(flow)
            .is_some_and(|other| Rc::ptr_eq(other, mailbox));
        if is_same {
            self.mailboxes.remove(flow);
        }
        is_same
    }

    /// Number of running tasks.
    pub(super) fn len(&self) -> usize {
        self.mailboxes.len()
    }
}
