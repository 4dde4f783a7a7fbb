package org.arbutuslock.platform.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Key-value store of the platform, as implemented by the test store of the testbed. The test store
 * counts the calls. A watch counts as one call, however long it stays open.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class KeyValueStoreGrpc {

  private KeyValueStoreGrpc() {}

  public static final java.lang.String SERVICE_NAME = "arbutuslock.platform.v1.KeyValueStore";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.ReadRequest,
      org.arbutuslock.platform.v1.ReadResponse> getReadMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Read",
      requestType = org.arbutuslock.platform.v1.ReadRequest.class,
      responseType = org.arbutuslock.platform.v1.ReadResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.ReadRequest,
      org.arbutuslock.platform.v1.ReadResponse> getReadMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.ReadRequest, org.arbutuslock.platform.v1.ReadResponse> getReadMethod;
    if ((getReadMethod = KeyValueStoreGrpc.getReadMethod) == null) {
      synchronized (KeyValueStoreGrpc.class) {
        if ((getReadMethod = KeyValueStoreGrpc.getReadMethod) == null) {
          KeyValueStoreGrpc.getReadMethod = getReadMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.ReadRequest, org.arbutuslock.platform.v1.ReadResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Read"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.ReadRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.ReadResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KeyValueStoreMethodDescriptorSupplier("Read"))
              .build();
        }
      }
    }
    return getReadMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.ListRequest,
      org.arbutuslock.platform.v1.ListResponse> getListMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "List",
      requestType = org.arbutuslock.platform.v1.ListRequest.class,
      responseType = org.arbutuslock.platform.v1.ListResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.ListRequest,
      org.arbutuslock.platform.v1.ListResponse> getListMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.ListRequest, org.arbutuslock.platform.v1.ListResponse> getListMethod;
    if ((getListMethod = KeyValueStoreGrpc.getListMethod) == null) {
      synchronized (KeyValueStoreGrpc.class) {
        if ((getListMethod = KeyValueStoreGrpc.getListMethod) == null) {
          KeyValueStoreGrpc.getListMethod = getListMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.ListRequest, org.arbutuslock.platform.v1.ListResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "List"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.ListRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.ListResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KeyValueStoreMethodDescriptorSupplier("List"))
              .build();
        }
      }
    }
    return getListMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.CompareAndSwapRequest,
      org.arbutuslock.platform.v1.WriteResponse> getCompareAndSwapMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "CompareAndSwap",
      requestType = org.arbutuslock.platform.v1.CompareAndSwapRequest.class,
      responseType = org.arbutuslock.platform.v1.WriteResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.CompareAndSwapRequest,
      org.arbutuslock.platform.v1.WriteResponse> getCompareAndSwapMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.CompareAndSwapRequest, org.arbutuslock.platform.v1.WriteResponse> getCompareAndSwapMethod;
    if ((getCompareAndSwapMethod = KeyValueStoreGrpc.getCompareAndSwapMethod) == null) {
      synchronized (KeyValueStoreGrpc.class) {
        if ((getCompareAndSwapMethod = KeyValueStoreGrpc.getCompareAndSwapMethod) == null) {
          KeyValueStoreGrpc.getCompareAndSwapMethod = getCompareAndSwapMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.CompareAndSwapRequest, org.arbutuslock.platform.v1.WriteResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "CompareAndSwap"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.CompareAndSwapRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.WriteResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KeyValueStoreMethodDescriptorSupplier("CompareAndSwap"))
              .build();
        }
      }
    }
    return getCompareAndSwapMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.DeleteRequest,
      org.arbutuslock.platform.v1.WriteResponse> getDeleteMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Delete",
      requestType = org.arbutuslock.platform.v1.DeleteRequest.class,
      responseType = org.arbutuslock.platform.v1.WriteResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.DeleteRequest,
      org.arbutuslock.platform.v1.WriteResponse> getDeleteMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.DeleteRequest, org.arbutuslock.platform.v1.WriteResponse> getDeleteMethod;
    if ((getDeleteMethod = KeyValueStoreGrpc.getDeleteMethod) == null) {
      synchronized (KeyValueStoreGrpc.class) {
        if ((getDeleteMethod = KeyValueStoreGrpc.getDeleteMethod) == null) {
          KeyValueStoreGrpc.getDeleteMethod = getDeleteMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.DeleteRequest, org.arbutuslock.platform.v1.WriteResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Delete"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.DeleteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.WriteResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KeyValueStoreMethodDescriptorSupplier("Delete"))
              .build();
        }
      }
    }
    return getDeleteMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.GrantLeaseRequest,
      org.arbutuslock.platform.v1.LeaseResponse> getGrantLeaseMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GrantLease",
      requestType = org.arbutuslock.platform.v1.GrantLeaseRequest.class,
      responseType = org.arbutuslock.platform.v1.LeaseResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.GrantLeaseRequest,
      org.arbutuslock.platform.v1.LeaseResponse> getGrantLeaseMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.GrantLeaseRequest, org.arbutuslock.platform.v1.LeaseResponse> getGrantLeaseMethod;
    if ((getGrantLeaseMethod = KeyValueStoreGrpc.getGrantLeaseMethod) == null) {
      synchronized (KeyValueStoreGrpc.class) {
        if ((getGrantLeaseMethod = KeyValueStoreGrpc.getGrantLeaseMethod) == null) {
          KeyValueStoreGrpc.getGrantLeaseMethod = getGrantLeaseMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.GrantLeaseRequest, org.arbutuslock.platform.v1.LeaseResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GrantLease"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.GrantLeaseRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.LeaseResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KeyValueStoreMethodDescriptorSupplier("GrantLease"))
              .build();
        }
      }
    }
    return getGrantLeaseMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.RenewLeaseRequest,
      org.arbutuslock.platform.v1.LeaseResponse> getRenewLeaseMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "RenewLease",
      requestType = org.arbutuslock.platform.v1.RenewLeaseRequest.class,
      responseType = org.arbutuslock.platform.v1.LeaseResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.RenewLeaseRequest,
      org.arbutuslock.platform.v1.LeaseResponse> getRenewLeaseMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.RenewLeaseRequest, org.arbutuslock.platform.v1.LeaseResponse> getRenewLeaseMethod;
    if ((getRenewLeaseMethod = KeyValueStoreGrpc.getRenewLeaseMethod) == null) {
      synchronized (KeyValueStoreGrpc.class) {
        if ((getRenewLeaseMethod = KeyValueStoreGrpc.getRenewLeaseMethod) == null) {
          KeyValueStoreGrpc.getRenewLeaseMethod = getRenewLeaseMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.RenewLeaseRequest, org.arbutuslock.platform.v1.LeaseResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "RenewLease"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.RenewLeaseRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.LeaseResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KeyValueStoreMethodDescriptorSupplier("RenewLease"))
              .build();
        }
      }
    }
    return getRenewLeaseMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.WatchRequest,
      org.arbutuslock.platform.v1.WatchResponse> getWatchMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Watch",
      requestType = org.arbutuslock.platform.v1.WatchRequest.class,
      responseType = org.arbutuslock.platform.v1.WatchResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.WatchRequest,
      org.arbutuslock.platform.v1.WatchResponse> getWatchMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.WatchRequest, org.arbutuslock.platform.v1.WatchResponse> getWatchMethod;
    if ((getWatchMethod = KeyValueStoreGrpc.getWatchMethod) == null) {
      synchronized (KeyValueStoreGrpc.class) {
        if ((getWatchMethod = KeyValueStoreGrpc.getWatchMethod) == null) {
          KeyValueStoreGrpc.getWatchMethod = getWatchMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.WatchRequest, org.arbutuslock.platform.v1.WatchResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Watch"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.WatchRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.WatchResponse.getDefaultInstance()))
              .setSchemaDescriptor(new KeyValueStoreMethodDescriptorSupplier("Watch"))
              .build();
        }
      }
    }
    return getWatchMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static KeyValueStoreStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreStub>() {
        @java.lang.Override
        public KeyValueStoreStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KeyValueStoreStub(channel, callOptions);
        }
      };
    return KeyValueStoreStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static KeyValueStoreBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreBlockingV2Stub>() {
        @java.lang.Override
        public KeyValueStoreBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KeyValueStoreBlockingV2Stub(channel, callOptions);
        }
      };
    return KeyValueStoreBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static KeyValueStoreBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreBlockingStub>() {
        @java.lang.Override
        public KeyValueStoreBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KeyValueStoreBlockingStub(channel, callOptions);
        }
      };
    return KeyValueStoreBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static KeyValueStoreFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KeyValueStoreFutureStub>() {
        @java.lang.Override
        public KeyValueStoreFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KeyValueStoreFutureStub(channel, callOptions);
        }
      };
    return KeyValueStoreFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Key-value store of the platform, as implemented by the test store of the testbed. The test store
   * counts the calls. A watch counts as one call, however long it stays open.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default void read(org.arbutuslock.platform.v1.ReadRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.ReadResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReadMethod(), responseObserver);
    }

    /**
     */
    default void list(org.arbutuslock.platform.v1.ListRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.ListResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getListMethod(), responseObserver);
    }

    /**
     */
    default void compareAndSwap(org.arbutuslock.platform.v1.CompareAndSwapRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WriteResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCompareAndSwapMethod(), responseObserver);
    }

    /**
     */
    default void delete(org.arbutuslock.platform.v1.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WriteResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDeleteMethod(), responseObserver);
    }

    /**
     */
    default void grantLease(org.arbutuslock.platform.v1.GrantLeaseRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.LeaseResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGrantLeaseMethod(), responseObserver);
    }

    /**
     */
    default void renewLease(org.arbutuslock.platform.v1.RenewLeaseRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.LeaseResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRenewLeaseMethod(), responseObserver);
    }

    /**
     * <pre>
     * Fails with OUT_OF_RANGE when the store no longer has all changes after the given revision, or
     * when the current revision of the store is lower than the given one.
     * </pre>
     */
    default void watch(org.arbutuslock.platform.v1.WatchRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WatchResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getWatchMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service KeyValueStore.
   * <pre>
   * Key-value store of the platform, as implemented by the test store of the testbed. The test store
   * counts the calls. A watch counts as one call, however long it stays open.
   * </pre>
   */
  public static abstract class KeyValueStoreImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return KeyValueStoreGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service KeyValueStore.
   * <pre>
   * Key-value store of the platform, as implemented by the test store of the testbed. The test store
   * counts the calls. A watch counts as one call, however long it stays open.
   * </pre>
   */
  public static final class KeyValueStoreStub
      extends io.grpc.stub.AbstractAsyncStub<KeyValueStoreStub> {
    private KeyValueStoreStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KeyValueStoreStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KeyValueStoreStub(channel, callOptions);
    }

    /**
     */
    public void read(org.arbutuslock.platform.v1.ReadRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.ReadResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReadMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void list(org.arbutuslock.platform.v1.ListRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.ListResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getListMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void compareAndSwap(org.arbutuslock.platform.v1.CompareAndSwapRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WriteResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCompareAndSwapMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void delete(org.arbutuslock.platform.v1.DeleteRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WriteResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDeleteMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void grantLease(org.arbutuslock.platform.v1.GrantLeaseRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.LeaseResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGrantLeaseMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void renewLease(org.arbutuslock.platform.v1.RenewLeaseRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.LeaseResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRenewLeaseMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Fails with OUT_OF_RANGE when the store no longer has all changes after the given revision, or
     * when the current revision of the store is lower than the given one.
     * </pre>
     */
    public void watch(org.arbutuslock.platform.v1.WatchRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WatchResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getWatchMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service KeyValueStore.
   * <pre>
   * Key-value store of the platform, as implemented by the test store of the testbed. The test store
   * counts the calls. A watch counts as one call, however long it stays open.
   * </pre>
   */
  public static final class KeyValueStoreBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<KeyValueStoreBlockingV2Stub> {
    private KeyValueStoreBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KeyValueStoreBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KeyValueStoreBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.arbutuslock.platform.v1.ReadResponse read(org.arbutuslock.platform.v1.ReadRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReadMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.ListResponse list(org.arbutuslock.platform.v1.ListRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getListMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.WriteResponse compareAndSwap(org.arbutuslock.platform.v1.CompareAndSwapRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getCompareAndSwapMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.WriteResponse delete(org.arbutuslock.platform.v1.DeleteRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDeleteMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.LeaseResponse grantLease(org.arbutuslock.platform.v1.GrantLeaseRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGrantLeaseMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.LeaseResponse renewLease(org.arbutuslock.platform.v1.RenewLeaseRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRenewLeaseMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Fails with OUT_OF_RANGE when the store no longer has all changes after the given revision, or
     * when the current revision of the store is lower than the given one.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.arbutuslock.platform.v1.WatchResponse>
        watch(org.arbutuslock.platform.v1.WatchRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getWatchMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service KeyValueStore.
   * <pre>
   * Key-value store of the platform, as implemented by the test store of the testbed. The test store
   * counts the calls. A watch counts as one call, however long it stays open.
   * </pre>
   */
  public static final class KeyValueStoreBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<KeyValueStoreBlockingStub> {
    private KeyValueStoreBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KeyValueStoreBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KeyValueStoreBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.arbutuslock.platform.v1.ReadResponse read(org.arbutuslock.platform.v1.ReadRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReadMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.ListResponse list(org.arbutuslock.platform.v1.ListRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getListMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.WriteResponse compareAndSwap(org.arbutuslock.platform.v1.CompareAndSwapRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCompareAndSwapMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.WriteResponse delete(org.arbutuslock.platform.v1.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDeleteMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.LeaseResponse grantLease(org.arbutuslock.platform.v1.GrantLeaseRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGrantLeaseMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.LeaseResponse renewLease(org.arbutuslock.platform.v1.RenewLeaseRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRenewLeaseMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Fails with OUT_OF_RANGE when the store no longer has all changes after the given revision, or
     * when the current revision of the store is lower than the given one.
     * </pre>
     */
    public java.util.Iterator<org.arbutuslock.platform.v1.WatchResponse> watch(
        org.arbutuslock.platform.v1.WatchRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getWatchMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service KeyValueStore.
   * <pre>
   * Key-value store of the platform, as implemented by the test store of the testbed. The test store
   * counts the calls. A watch counts as one call, however long it stays open.
   * </pre>
   */
  public static final class KeyValueStoreFutureStub
      extends io.grpc.stub.AbstractFutureStub<KeyValueStoreFutureStub> {
    private KeyValueStoreFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KeyValueStoreFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KeyValueStoreFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.ReadResponse> read(
        org.arbutuslock.platform.v1.ReadRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReadMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.ListResponse> list(
        org.arbutuslock.platform.v1.ListRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getListMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.WriteResponse> compareAndSwap(
        org.arbutuslock.platform.v1.CompareAndSwapRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCompareAndSwapMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.WriteResponse> delete(
        org.arbutuslock.platform.v1.DeleteRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDeleteMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.LeaseResponse> grantLease(
        org.arbutuslock.platform.v1.GrantLeaseRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGrantLeaseMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.LeaseResponse> renewLease(
        org.arbutuslock.platform.v1.RenewLeaseRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRenewLeaseMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_READ = 0;
  private static final int METHODID_LIST = 1;
  private static final int METHODID_COMPARE_AND_SWAP = 2;
  private static final int METHODID_DELETE = 3;
  private static final int METHODID_GRANT_LEASE = 4;
  private static final int METHODID_RENEW_LEASE = 5;
  private static final int METHODID_WATCH = 6;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_READ:
          serviceImpl.read((org.arbutuslock.platform.v1.ReadRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.ReadResponse>) responseObserver);
          break;
        case METHODID_LIST:
          serviceImpl.list((org.arbutuslock.platform.v1.ListRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.ListResponse>) responseObserver);
          break;
        case METHODID_COMPARE_AND_SWAP:
          serviceImpl.compareAndSwap((org.arbutuslock.platform.v1.CompareAndSwapRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WriteResponse>) responseObserver);
          break;
        case METHODID_DELETE:
          serviceImpl.delete((org.arbutuslock.platform.v1.DeleteRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WriteResponse>) responseObserver);
          break;
        case METHODID_GRANT_LEASE:
          serviceImpl.grantLease((org.arbutuslock.platform.v1.GrantLeaseRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.LeaseResponse>) responseObserver);
          break;
        case METHODID_RENEW_LEASE:
          serviceImpl.renewLease((org.arbutuslock.platform.v1.RenewLeaseRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.LeaseResponse>) responseObserver);
          break;
        case METHODID_WATCH:
          serviceImpl.watch((org.arbutuslock.platform.v1.WatchRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.WatchResponse>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getReadMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.ReadRequest,
              org.arbutuslock.platform.v1.ReadResponse>(
                service, METHODID_READ)))
        .addMethod(
          getListMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.ListRequest,
              org.arbutuslock.platform.v1.ListResponse>(
                service, METHODID_LIST)))
        .addMethod(
          getCompareAndSwapMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.CompareAndSwapRequest,
              org.arbutuslock.platform.v1.WriteResponse>(
                service, METHODID_COMPARE_AND_SWAP)))
        .addMethod(
          getDeleteMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.DeleteRequest,
              org.arbutuslock.platform.v1.WriteResponse>(
                service, METHODID_DELETE)))
        .addMethod(
          getGrantLeaseMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.GrantLeaseRequest,
              org.arbutuslock.platform.v1.LeaseResponse>(
                service, METHODID_GRANT_LEASE)))
        .addMethod(
          getRenewLeaseMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.RenewLeaseRequest,
              org.arbutuslock.platform.v1.LeaseResponse>(
                service, METHODID_RENEW_LEASE)))
        .addMethod(
          getWatchMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.WatchRequest,
              org.arbutuslock.platform.v1.WatchResponse>(
                service, METHODID_WATCH)))
        .build();
  }

  private static abstract class KeyValueStoreBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    KeyValueStoreBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.arbutuslock.platform.v1.StoreProto.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("KeyValueStore");
    }
  }

  private static final class KeyValueStoreFileDescriptorSupplier
      extends KeyValueStoreBaseDescriptorSupplier {
    KeyValueStoreFileDescriptorSupplier() {}
  }

  private static final class KeyValueStoreMethodDescriptorSupplier
      extends KeyValueStoreBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    KeyValueStoreMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (KeyValueStoreGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new KeyValueStoreFileDescriptorSupplier())
              .addMethod(getReadMethod())
              .addMethod(getListMethod())
              .addMethod(getCompareAndSwapMethod())
              .addMethod(getDeleteMethod())
              .addMethod(getGrantLeaseMethod())
              .addMethod(getRenewLeaseMethod())
              .addMethod(getWatchMethod())
              .build();
        }
      }
    }
    return result;
  }
}
