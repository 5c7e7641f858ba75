//! The faults of a schedule, beside those of the membership.

use super::*;

impl World {
    /// Takes a random step, which may be a fault, and checks what was promised.
    pub(crate) fn step(&mut self) {
        match self.rng.random_range(0..400) {
            0 => self.crash_all(),
            1..3 => self.lose_disk(),
            3..5 => self.restart(),
            12..16 if self.has_replacements => self.join(),
            16..20 if self.has_replacements => self.leave(),
            20..23 if self.has_replacements => self.split(),
            5..8 => {
                let index = self.random_instance();
                self.instances[index].is_frozen = !self.instances[index].is_frozen;
            }
            8..12 => self.drop_message(),
            _ => self.step_without_faults(),
        }
        self.check();
    }

    /// Thaws all instances and ends a split. Later changes have versions that no earlier one had.
    pub(crate) fn end_faults(&mut self) {
        self.old_versions = changes::VERSIONS;
        self.is_split = false;
        for instance in &mut self.instances {
            instance.is_frozen = false;
        }
    }

    fn restart(&mut self) {
        let index = self.random_instance();
        self.instances[index].restart(index);
    }

    fn crash_all(&mut self) {
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if !instance.is_gone {
                instance.restart(index);
            }
        }
    }

    fn drop_message(&mut self) {
        if !self.messages.is_empty() {
            let index = self.rng.random_range(0..self.messages.len());
            self.messages.swap_remove(index);
        }
    }
}
