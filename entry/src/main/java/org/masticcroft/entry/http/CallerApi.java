package org.masticcroft.entry.http;

import jakarta.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.PATCH;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.PUT;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.container.Suspended;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.HttpHeaders;
import jakarta.ws.rs.core.UriInfo;
import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;
import java.util.Optional;
import org.masticcroft.entry.request.CallerRequest;
import org.masticcroft.entry.request.RequestRegistry;
import org.masticcroft.kernel.config.ConfigView;

/** HTTP resources for callers. Requests are answered asynchronously; only the body is read on the HTTP thread. */
@Path("/")
public final class CallerApi {
    private static final String NO_TARGET = "";
    private static final String SERVICES_PREFIX = "/services/";

    private final RequestRegistry requests;
    private final ConfigView config;

    /** Creates the resource. */
    @Inject
    public CallerApi(RequestRegistry requests, ConfigView config) {
        this.requests = Objects.requireNonNull(requests, "requests");
        this.config = Objects.requireNonNull(config, "config");
    }

    @POST
    @Path("v1/chat/completions")
    public void chat(InputStream body, @Context HttpHeaders headers, @Suspended AsyncResponse response)
            throws IOException {
        accept(CallerRequest.Kind.CHAT, NO_TARGET, "POST", "/v1/chat/completions", headers, body, response);
    }

    @GET
    @Path("v1/models")
    public void models(@Context HttpHeaders headers, @Suspended AsyncResponse response) throws IOException {
        InputStream emptyBody = InputStream.nullInputStream();
        accept(CallerRequest.Kind.MODELS, NO_TARGET, "GET", "/v1/models", headers, emptyBody, response);
    }

    @GET
    @Path("services/{service}/{path: .*}")
    public void get(
            @PathParam("service") String service,
            @Context HttpServletRequest request,
            @Context HttpHeaders headers,
            @Context UriInfo uri,
            @Suspended AsyncResponse response)
            throws IOException {
        acceptServiceCall(service, request, uri, headers, InputStream.nullInputStream(), response);
    }

    @POST
    @Path("services/{service}/{path: .*}")
    public void post(
            @PathParam("service") String service,
            InputStream body,
            @Context HttpServletRequest request,
            @Context HttpHeaders headers,
            @Context UriInfo uri,
            @Suspended AsyncResponse response)
            throws IOException {
        acceptServiceCall(service, request, uri, headers, body, response);
    }

    @PUT
    @Path("services/{service}/{path: .*}")
    public void put(
            @PathParam("service") String service,
            InputStream body,
            @Context HttpServletRequest request,
            @Context HttpHeaders headers,
            @Context UriInfo uri,
            @Suspended AsyncResponse response)
            throws IOException {
        acceptServiceCall(service, request, uri, headers, body, response);
    }

    @PATCH
    @Path("services/{service}/{path: .*}")
    public void patch(
            @PathParam("service") String service,
            InputStream body,
            @Context HttpServletRequest request,
            @Context HttpHeaders headers,
            @Context UriInfo uri,
            @Suspended AsyncResponse response)
            throws IOException {
        acceptServiceCall(service, request, uri, headers, body, response);
    }

    @DELETE
    @Path("services/{service}/{path: .*}")
    public void delete(
            @PathParam("service") String service,
            InputStream body,
            @Context HttpServletRequest request,
            @Context HttpHeaders headers,
            @Context UriInfo uri,
            @Suspended AsyncResponse response)
            throws IOException {
        acceptServiceCall(service, request, uri, headers, body, response);
    }

    private void acceptServiceCall(
            String service,
            HttpServletRequest request,
            UriInfo uri,
            HttpHeaders headers,
            InputStream body,
            AsyncResponse response)
            throws IOException {
        String rawPath = uri.getRequestUri().getRawPath();
        int serviceStart = rawPath.indexOf(SERVICES_PREFIX) + SERVICES_PREFIX.length();
        String path = rawPath.substring(rawPath.indexOf('/', serviceStart));
        String query = uri.getRequestUri().getRawQuery();
        String pathAndQuery = query == null ? path : path + '?' + query;
        accept(CallerRequest.Kind.SERVICE, service, request.getMethod(), pathAndQuery, headers, body, response);
    }

    private void accept(
            CallerRequest.Kind kind,
            String target,
            String method,
            String path,
            HttpHeaders headers,
            InputStream body,
            AsyncResponse response)
            throws IOException {
        requests.accept(
                new CallerRequest(
                        kind,
                        target,
                        method,
                        path,
                        header(headers, HttpHeaders.CONTENT_TYPE).orElse(""),
                        header(headers, HttpHeaders.AUTHORIZATION),
                        header(headers, Headers.IDEMPOTENCY_KEY),
                        header(headers, Headers.MIN_CONFIG),
                        readLimited(body)),
                new JerseyAnswerSink(response));
    }

    /** Reads at most one byte more than the limit; the extra byte lets validation reject the request as too large. */
    private byte[] readLimited(InputStream body) throws IOException {
        long limit = config.state().config().limits().maxBodyBytes();
        return body.readNBytes((int) Math.min(Integer.MAX_VALUE - 8, limit + 1));
    }

    private static Optional<String> header(HttpHeaders headers, String name) {
        return Optional.ofNullable(headers.getHeaderString(name));
    }
}
