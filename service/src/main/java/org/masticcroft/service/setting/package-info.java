/**
 * Settings of {@code masticcroftd} from flags and environment variables. Start with
 * {@link org.masticcroft.service.setting.CommonOptions}.
 */
package org.masticcroft.service.setting;
