/**
 * Export of the account to a file. The file is a sequence of zstd frames that contain UTF-8 text with one JSON document
 * per line, see {@link org.masticcroft.account.export.ExportLine}. The last frame is the trailer, see
 * {@link org.masticcroft.account.export.ExportTrailer}.
 *
 * <p>Start with {@link org.masticcroft.account.export.AccountExport}, and for reading with
 * {@link org.masticcroft.account.export.ExportReader}.
 */
package org.masticcroft.account.export;
