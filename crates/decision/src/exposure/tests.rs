use super::ExposureControl;

impl ExposureControl {
    /// Whether it stores keys one by one.
    pub(crate) fn tells_keys_apart(&self) -> bool {
        !self.key_builds.is_empty()
    }
}
